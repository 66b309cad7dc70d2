//! `thornbridge node`: the server.

use crate::error::{CommandError, UsageSnafu};
use bpaf::Bpaf;
use snafu::OptionExt;
use std::path::PathBuf;
use std::str::FromStr;
use thornbridge_config::keys::ClusterKey;
use thornbridge_config::parse;
use thornbridge_config::settings::NodeSettings;
use thornbridge_node::NodeRuntimeSettings;
use toml::{Table, Value};

/// Run a node until SIGTERM, then finish what is in flight
///
///
/// Every setting may be given in the file, as examples/node.toml, or as a flag, which goes first.
/// Exit code 1 where a second signal ended it before all was finished.
///
///
/// Example: thornbridge node --settings node.toml --zone cnx-b
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("node"), generate(node))]
pub struct Node {
    /// Settings file, as examples/node.toml
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
    #[bpaf(external(flags))]
    flags: Flags,
}

/// Settings as flags. They are checked together with those of the file.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(flags))]
struct Flags {
    /// Name shown to operators
    #[bpaf(argument("NAME"))]
    name: Option<String>,
    /// Zone
    #[bpaf(argument("NAME"))]
    zone: Option<String>,
    /// Region
    #[bpaf(argument("NAME"))]
    region: Option<String>,
    /// Address for callers
    #[bpaf(argument("ADDRESS"))]
    caller_address: Option<String>,
    /// Address for operators
    #[bpaf(argument("ADDRESS"))]
    operator_address: Option<String>,
    /// Address for peers
    #[bpaf(argument("ADDRESS"))]
    peer_address: Option<String>,
    /// Address that peers are told, where it is not the one for peers
    #[bpaf(argument("ADDRESS"))]
    advertised_peer_address: Option<String>,
    /// Address that operators are told, where it is not the one for operators
    #[bpaf(argument("ADDRESS"))]
    advertised_operator_address: Option<String>,
    /// Platform's address
    #[bpaf(argument("ADDRESS"))]
    platform_address: Option<String>,
    /// Peer to join through; may be repeated
    #[bpaf(argument("ADDRESS"))]
    seed: Vec<String>,
    /// Most connections from callers at once
    #[bpaf(argument("NUMBER"))]
    caller_connections: Option<u32>,
    /// Memory that callers may make the node hold, in MB
    #[bpaf(argument("NUMBER"))]
    caller_memory_mb: Option<u32>,
    /// File of the cluster key
    #[bpaf(argument("FILE"))]
    cluster_key_file: Option<PathBuf>,
    /// Key that may approve bundles, with its public half; may be repeated
    #[bpaf(argument("NAME=HEX"))]
    trusted_key: Vec<TrustedKeyFlag>,
}

/// A trusted key as `NAME=HEX`.
#[derive(Clone, Debug)]
struct TrustedKeyFlag {
    id: String,
    public_key: String,
}

impl FromStr for TrustedKeyFlag {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (id, public_key) = text
            .split_once('=')
            .ok_or_else(|| format!("found {text:?}; expected NAME=HEX"))?;
        Ok(Self {
            id: id.to_owned(),
            public_key: public_key.to_owned(),
        })
    }
}

impl Node {
    /// Runs the command.
    pub async fn run(self) -> Result<(), CommandError> {
        let settings = self.read_settings()?;
        let cluster_key = ClusterKey::read(&settings.cluster_key_file)?;
        let outcome =
            thornbridge_node::run(NodeRuntimeSettings::new(settings, cluster_key)).await?;
        match outcome {
            thornbridge_node::StopOutcome::Finished => Ok(()),
            thornbridge_node::StopOutcome::Aborted => Err(CommandError::Aborted),
        }
    }

    fn read_settings(self) -> Result<NodeSettings, CommandError> {
        let flags = self.flags.into_table();
        if flags.is_empty() {
            let file = self.settings.context(UsageSnafu {
                detail: "found no settings; expected --settings FILE or a flag for each setting",
            })?;
            return Ok(parse::read_settings(&file)?);
        }
        Ok(parse::read_settings_with(self.settings.as_deref(), flags)?)
    }
}

impl Flags {
    /// The flags given, as the file would hold them.
    fn into_table(self) -> Table {
        let key_file = self.cluster_key_file.map(|file| file.display().to_string());
        let texts = [
            ("name", self.name),
            ("zone", self.zone),
            ("region", self.region),
            ("caller_address", self.caller_address),
            ("operator_address", self.operator_address),
            ("peer_address", self.peer_address),
            ("advertised_peer_address", self.advertised_peer_address),
            (
                "advertised_operator_address",
                self.advertised_operator_address,
            ),
            ("platform_address", self.platform_address),
            ("cluster_key_file", key_file),
        ];
        let texts = texts.into_iter();
        let mut table: Table = texts
            .filter_map(|(key, text)| Some((key.to_owned(), Value::String(text?))))
            .collect();
        let limits = [
            ("caller_connections", self.caller_connections),
            ("caller_memory_mb", self.caller_memory_mb),
        ];
        for (key, limit) in limits {
            if let Some(limit) = limit {
                table.insert(key.to_owned(), Value::Integer(limit.into()));
            }
        }
        if !self.seed.is_empty() {
            let seeds = self.seed.into_iter().map(Value::String);
            table.insert("seeds".to_owned(), Value::Array(seeds.collect()));
        }
        if !self.trusted_key.is_empty() {
            let keys = self.trusted_key.into_iter().map(TrustedKeyFlag::into_value);
            table.insert("trusted_keys".to_owned(), Value::Array(keys.collect()));
        }
        table
    }
}

impl TrustedKeyFlag {
    fn into_value(self) -> Value {
        let mut table = Table::new();
        table.insert("id".to_owned(), self.id.into());
        table.insert("public_key".to_owned(), self.public_key.into());
        Value::Table(table)
    }
}
