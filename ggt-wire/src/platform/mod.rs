//! What the platform publishes: folders of small files, each folder at a rising revision.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use ggt_core::ident::stable_hash;

/// One of the folders that the platform publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FolderKind {
    /// The configuration.
    Config,
    /// The host list, in one file or in one for each data centre.
    Hosts,
}

impl FolderKind {
    /// Both folders.
    pub const ALL: [Self; 2] = [Self::Config, Self::Hosts];

    /// The folder's name in the platform's paths and in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Hosts => "hosts",
        }
    }
}

/// Identifies the content of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FileDigest(pub u64);

impl FileDigest {
    /// The digest of a text.
    pub fn of(text: &str) -> Self {
        Self(stable_hash(text.as_bytes()))
    }
}

/// The names and digests of a folder at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderManifest {
    /// The revision.
    pub revision: u64,
    /// Digest of each file by its name.
    pub files: BTreeMap<String, FileDigest>,
}

/// A folder at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedFolder {
    /// The revision.
    pub revision: u64,
    /// The files by their names.
    pub files: BTreeMap<String, String>,
}

impl PublishedFolder {
    /// The folder's names and digests.
    pub fn manifest(&self) -> FolderManifest {
        let digests = self.files.iter().map(|(name, text)| (name.clone(), FileDigest::of(text)));
        FolderManifest { revision: self.revision, files: digests.collect() }
    }

    /// Names and texts, as the checks take them.
    pub fn texts(&self) -> impl Iterator<Item = (&str, &str)> {
        self.files.iter().map(|(name, text)| (name.as_str(), text.as_str()))
    }

    /// Builds the folder of `manifest` from texts known by their digests.
    ///
    /// Returns the names of the files whose texts are missing when it cannot be built.
    pub fn assemble(
        manifest: &FolderManifest,
        texts: &BTreeMap<FileDigest, String>,
    ) -> Result<Self, Vec<String>> {
        let missing: Vec<String> = manifest
            .files
            .iter()
            .filter(|(_, digest)| !texts.contains_key(digest))
            .map(|(name, _)| name.clone())
            .collect();
        if !missing.is_empty() {
            return Err(missing);
        }
        let files = manifest
            .files
            .iter()
            .filter_map(|(name, digest)| Some((name.clone(), texts.get(digest)?.clone())))
            .collect();
        Ok(Self { revision: manifest.revision, files })
    }

    /// The folder's texts by their digests.
    pub fn by_digest(&self) -> BTreeMap<FileDigest, String> {
        self.files.values().map(|text| (FileDigest::of(text), text.clone())).collect()
    }
}
