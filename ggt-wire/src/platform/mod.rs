//! Folders of small files that the platform publishes, each under a rising revision.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use ggt_core::ident::stable_hash;

/// A folder that the platform publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FolderKind {
    /// The configuration.
    Config,
    /// The host list, in one file or in one file per data centre.
    Hosts,
}

impl FolderKind {
    /// All kinds of folders.
    pub const ALL: [Self; 2] = [Self::Config, Self::Hosts];

    /// Name of the folder in the platform's paths and in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Hosts => "hosts",
        }
    }
}

/// Hash of a file's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FileDigest(pub u64);

impl FileDigest {
    /// The digest of a text.
    pub fn of(text: &str) -> Self {
        Self(stable_hash(text.as_bytes()))
    }
}

/// The file names and digests of a folder at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderManifest {
    /// Revision of the folder.
    pub revision: u64,
    /// Digests by file name.
    pub files: BTreeMap<String, FileDigest>,
}

/// The content of a folder at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedFolder {
    /// Revision of the folder.
    pub revision: u64,
    /// Texts by file name.
    pub files: BTreeMap<String, String>,
}

impl PublishedFolder {
    /// The manifest of this folder.
    pub fn manifest(&self) -> FolderManifest {
        let digests = self.files.iter().map(|(name, text)| (name.clone(), FileDigest::of(text)));
        FolderManifest { revision: self.revision, files: digests.collect() }
    }

    /// File names and texts, in the form that validation takes.
    pub fn texts(&self) -> impl Iterator<Item = (&str, &str)> {
        self.files.iter().map(|(name, text)| (name.as_str(), text.as_str()))
    }

    /// Builds the folder of `manifest` from texts by their digests.
    ///
    /// # Errors
    /// The names of the files whose texts are missing.
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

    /// Texts by digest.
    pub fn by_digest(&self) -> BTreeMap<FileDigest, String> {
        self.files.values().map(|text| (FileDigest::of(text), text.clone())).collect()
    }
}
