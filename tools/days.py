#!/usr/bin/env python3
"""Writes days of our own for the users' bench: each kind of trouble, alone, twice and in pairs.

Usage: days.py SITE.toml DIRECTORY [--seed N] [--pairs N]

Takes the traffic of the site's first day. Each file is one day, named after its troubles; the
seed decides moments and strengths. `play_days.py` plays them and prints a table. With `--kinds FILE`,
the output of `fleetbench kinds SITE`, it names the kinds that the table below lacks.
"""
import argparse
import pathlib
import random
import re
import tomllib

# Kind, whether it is planned work, and its variants: fields beside `at`.
KINDS = {
    "shift": (False, [{"share": 0.5, "for_s": 6}]),
    "retry_abuse": (False, [{"x": 3.0, "share": 0.4, "for_s": 5.5}]),
    "give_up": (False, [{"share": 0.3, "for_s": 6, "how": how} for how in ("", "once")]),
    "srv_crash": (False, [{"share": 0.2, "for_s": 5, "how": how} for how in ("", "dark", "gone", "across", "dark across")]),
    "srv_slow": (False, [{"share": 0.2, "x": 9.0, "for_s": 6, "how": how} for how in ("", "across")]),
    "release": (True, [{"share": 0.6, "x": 1.0, "gap_s": 1.0}]),
    "answer_lost": (False, [{"share": 0.5, "x": 0.04, "for_s": 6, "how": how} for how in ("", "reset")]),
    "garble": (False, [{"share": 0.5, "x": 0.04, "for_s": 6, "how": how} for how in ("", "extra", "extra late", "unframed", "early")]),
    "node_kill": (False, [{"share": 0.3, "for_s": 3, "how": how, "on": "core"} for how in ("", "power", "leader race hard", "seed race hard", "meet drain", "leader race drain")]),
    "roll_term": (True, [{"share": 1.0, "x": 1.0, "gap_s": 1.2, "how": how} for how in ("", "busy")] + [{"share": 0.3, "x": 1.0, "gap_s": 1.2, "how": "remove"}]),
    "herd_kill": (False, [{"share": 0.7, "for_s": 2, "how": how, "on": "core"} for how in ("", "power", "off")]),
    "add_nodes": (True, [{"share": 1.0}]),
    "clock_step": (False, [{"share": 0.4, "x": 2400.0, "for_s": 6, "how": how} for how in ("back", "ahead")]),
    "reset_conns": (False, [{"share": 0.4, "x": 0.6}]),
    "core_cut": (False, [{"count": 2, "for_s": 5.5, "how": how} for how in ("", "refuse", "reset", "all", "near", "leader race", "seeds", "one_way", "both")]),
    "node_cut": (False, [{"share": 0.25, "for_s": 5.5, "how": how} for how in ("", "all", "servers", "reset")]),
    "lossy": (False, [{"x": 0.03, "for_s": 6}]),
    "platform_down": (False, [{"for_s": 5, "how": how} for how in ("silent", "busy", "reset", "silent lapse", "reset lapse")] + [{"share": 0.35, "for_s": 5, "how": how} for how in ("nodes busy", "nodes many", "nodes reset", "nodes leader")]),
    "platform_slow": (False, [{"x": 60.0, "for_s": 5}]),
    "platform_lost": (False, [{"x": 0.35, "for_s": 5, "how": how} for how in ("", "late")]),
    "platform_compact": (False, [{"x": 5.5, "for_s": 10, "how": how} for how in ("", "drain")]),
    "config_change": (True, [{"how": how} for how in ("route", "weights", "timeout", "idle", "skew")]),
    "config_storm": (True, [{"for_s": 4, "gap_s": 0.2}]),
    "big_config": (True, [{"count": 380}]),
    "reshard": (True, [{"x": 3.3}]),
    "burst": (False, [{"x": 2.5, "for_s": 6}]),
    "srv_grey": (False, [{"share": 0.2, "x": 0.4, "for_s": 6, "how": how} for how in ("errors", "shed", "busy", "hang", "reset", "mute", "errors one_zone")] + [{"share": 0.2, "x": 8.0, "for_s": 6, "how": "slow"}]),
    "replace_with_reuse": (False, [{"share": 0.2, "for_s": 5, "how": how} for how in ("", "drain", "dark")]),
    "scale_out": (True, [{"share": 0.4, "gap_s": 1}]),
    "scale_in": (True, [{"share": 0.2, "how": how} for how in ("", "spot", "reclaim")]),
    "node_freeze": (False, [{"share": 0.25, "for_s": 4, "how": how} for how in ("", "renewed")]),
    "node_slow": (False, [{"share": 0.25, "x": 5.0, "for_s": 6}]),
    "after_ack_kill": (False, [{"count": 2, "for_s": 3, "how": how} for how in ("", "kill", "timed")]),
    "hup": (True, [{"share": 1.0, "gap_s": 1}]),
    "evacuate": (False, [{"for_s": 6}, {"for_s": 6, "how": "warm"}]),
    "cold_return": (False, [{"for_s": 4, "how": how} for how in ("", "dark")]),
    "zone_loss": (False, [{"for_s": 4}]),
    "zone_cut": (False, [{"for_s": 6}]),
    "srv_cut": (False, [{"share": 0.2, "for_s": 6, "how": how} for how in ("", "fronts", "one_way", "reset", "reborn")] + [{"share": 0.2, "x": 0.3, "for_s": 6, "how": how} for how in ("some", "some lossy")]),
    "srv_flap": (False, [{"share": 0.2, "gap_s": 0.8, "for_s": 7}]),
    "srv_lying_health": (False, [{"share": 0.15, "for_s": 6, "how": how} for how in ("errors", "hang", "reset", "bad")]),
    "idle_race": (False, [{"share": 0.6, "x": 300.0, "for_s": 6}]),
}
# Days on which many nodes are silent at once: planned work, faults, and how the day ends.
SILENT_DAYS = {
    "silent-frozen-and-cut": ([], [{"at": 8.0, "kind": "node_freeze", "share": 0.3, "for_s": 6.0}, {"at": 20.0, "kind": "node_cut", "share": 0.25, "for_s": 8.0, "how": "all"}], None),
    "silent-frozen-and-killed": ([], [{"at": 9.0, "kind": "node_freeze", "share": 0.2, "for_s": 2.5}, {"at": 16.0, "kind": "clock_step", "share": 0.4, "x": 2400.0, "for_s": 6, "how": "back"}], {"kind": "kill_all", "down_s": 0.8}),
    "silent-slow-and-lossy": (
        [{"at": 4.0, "kind": "roll_term", "share": 0.3, "x": 2.0, "gap_s": 1.2}, {"at": 14.0, "kind": "release", "share": 0.4, "x": 3.0, "gap_s": 1.0}],
        [{"at": 10.0, "kind": "node_slow", "share": 0.25, "x": 5.0, "for_s": 6.0}, {"at": 22.0, "kind": "lossy", "x": 0.03, "for_s": 6}],
        None,
    ),
    "silent-half": ([], [{"at": 6.0, "kind": "node_freeze", "share": 0.5, "for_s": 3.0}, {"at": 18.0, "kind": "node_freeze", "share": 0.1, "for_s": 0.6}, {"at": 24.0, "kind": "node_cut", "share": 0.2, "for_s": 5.0}], None),
}
FIRST, LAST = 2.0, 24.0
CLOSINGS = [None, {"kind": "power_off_all", "down_s": 1.4}, {"kind": "kill_all", "down_s": 0.8}]


def value(item):
    if isinstance(item, dict):
        return "{ " + ", ".join(f"{key} = {value(entry)}" for key, entry in item.items()) + " }"
    if isinstance(item, str):
        return f'"{item}"'
    return str(item)


def day(name, seed, traffic, troubles, closing):
    plan = [entry for planned, entry in troubles if planned]
    faults = [entry for planned, entry in troubles if not planned]
    lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}"]
    if closing:
        lines.append(f"closing = {value(closing)}")
    lines += ["one = 0.9", "zero = 0.3", "goal = { floor = 0.45 }", "labels = []"]
    lines += ["plan = ["] + [f"  {value(entry)}," for entry in plan] + ["]"]
    lines += ["faults = ["] + [f"  {value(entry)}," for entry in faults] + ["]"]
    lines += ["traffic = ["] + [f"  {value(entry)}," for entry in traffic] + ["]"]
    return "\n".join(lines) + "\n"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("directory", type=pathlib.Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--pairs", type=int, default=20)
    parser.add_argument("--kinds", type=pathlib.Path)
    options = parser.parse_args()
    site = tomllib.loads(options.site.read_text())
    traffic = site.get("traffic") or site["day"][0]["traffic"]
    if options.kinds:
        listed = re.findall(r"^([a-z_]+): ", options.kinds.read_text(), re.M)
        lacking = [kind for kind in listed if kind not in KINDS]
        print("kinds that are not covered:", " ".join(lacking) or "none")
    draw = random.Random(options.seed)
    options.directory.mkdir(parents=True, exist_ok=True)
    variants = [(kind, planned, fields) for kind, (planned, all_fields) in KINDS.items() for fields in all_fields]

    def trouble(variant):
        kind, planned, fields = variant
        fields = {key: entry for key, entry in fields.items() if entry != ""}
        return planned, {"at": round(draw.uniform(FIRST, LAST), 2), "kind": kind, **fields}

    def write(name, troubles):
        seed = draw.randrange(1, 10**9)
        closing = draw.choice(CLOSINGS)
        text = day(name, seed, traffic, troubles, closing)
        (options.directory / f"{name}.toml").write_text(text)

    for variant in variants:
        kind, _, fields = variant
        how = "-".join(str(fields.get("how", "")).split())
        name = f"{kind}-{how}" if how else kind
        # The same trouble twice on one day.
        write(name, [trouble(variant), trouble(variant)])
    for name, (plan, faults, closing) in SILENT_DAYS.items():
        troubles = [(True, entry) for entry in plan] + [(False, entry) for entry in faults]
        text = day(name, draw.randrange(1, 10**9), traffic, troubles, closing)
        (options.directory / f"{name}.toml").write_text(text)
    for index in range(options.pairs):
        chosen = draw.sample(variants, 3)
        write(f"mixed-{options.seed}-{index}", [trouble(variant) for variant in chosen])


main()
