#!/usr/bin/env python3
"""Plays days of a directory on a site and prints a table: worth, served, broken rules.

Usage: play_days.py FLEETBENCH SITE.toml DIRECTORY [--jobs N] [--only TEXT]

The output of each day whose line names a rule, a fault or no result is kept beside the day.
"""
import argparse
import concurrent.futures
import pathlib
import re
import subprocess

parser = argparse.ArgumentParser(description=__doc__)
parser.add_argument("bench")
parser.add_argument("site")
parser.add_argument("directory", type=pathlib.Path)
parser.add_argument("--jobs", type=int, default=4)
parser.add_argument("--only", default="")
options = parser.parse_args()


def play(file):
    command = [options.bench, "run", options.site, str(file), "--why", f"own day {file.stem}"]
    output = subprocess.run(command, capture_output=True, text=True)
    text = output.stdout + output.stderr
    line = re.search(r"^\S+ +\d+/\d+ .*$", text, re.M)
    broken = re.findall(r"^(?!.*broken off).*(?:broken|breaks|GATE failed|counts 0|rule ).*$", text, re.M)
    if broken or not line:
        file.with_suffix(".out").write_text(text)
    return file.stem, line.group(0) if line else text.strip()[-200:], broken


days = sorted(file for file in options.directory.glob("*.toml") if options.only in file.stem)
with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
    for name, line, broken in pool.map(play, days):
        print(f"{name:36} {line[20:150]}")
        for rule in broken[:4]:
            print(f"    {rule[:220]}")
