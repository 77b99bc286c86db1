//! Merges a folder of JSON files in the order of their names.

use std::collections::BTreeMap;

use serde_json::Map;
use serde_json::Value;
use snafu::Snafu;

/// Why a folder cannot be merged.
#[derive(Debug, Snafu)]
pub enum MergeError {
    /// A file is not valid JSON.
    #[snafu(display("{file}: not valid JSON: {cause}"))]
    Syntax {
        /// The file's name.
        file: String,
        /// Message of the parser, with line and column.
        cause: String,
    },
    /// The top-level value of a file is not an object.
    #[snafu(display("{file}: the top must be an object"))]
    Shape {
        /// The file's name.
        file: String,
    },
}

/// A merged folder and the file that set each value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergedFolder {
    /// The merged document.
    pub value: Value,
    /// For each JSON pointer to a leaf, the file that set it.
    pub sources: BTreeMap<String, String>,
}

impl MergedFolder {
    /// The file that set the value at `pointer` or below it, or else at or below its nearest
    /// ancestor.
    pub fn source_of(&self, pointer: &str) -> Option<&str> {
        let mut prefix = pointer;
        loop {
            let below = format!("{prefix}/");
            let found = self.sources.get(prefix).or_else(|| {
                let mut range = self.sources.range(below.clone()..);
                range.next().filter(|(path, _)| path.starts_with(&below)).map(|(_, file)| file)
            });
            if let Some(file) = found {
                return Some(file);
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }
}

/// Merges files in the order of their names.
///
/// Objects merge by key. Other values, lists included, replace the earlier value, and `null`
/// removes the key.
///
/// # Errors
/// [`MergeError`] when a file is not valid JSON or not an object.
pub fn merge_files<'a, I>(files: I) -> Result<MergedFolder, MergeError>
where
    I: IntoIterator<Item = (&'a str, &'a str)>,
{
    let mut ordered: Vec<(&str, &str)> = files.into_iter().collect();
    ordered.sort_unstable();
    let mut folder = MergedFolder { value: Value::Object(Map::new()), ..Default::default() };
    for (file, text) in ordered {
        let overlay: Value = serde_json::from_str(text)
            .map_err(|e| MergeError::Syntax { file: file.to_owned(), cause: e.to_string() })?;
        if !overlay.is_object() {
            return Err(MergeError::Shape { file: file.to_owned() });
        }
        overlay_value(&mut folder.value, overlay, "", file, &mut folder.sources);
    }
    Ok(folder)
}

fn overlay_value(
    base: &mut Value,
    overlay: Value,
    pointer: &str,
    file: &str,
    sources: &mut BTreeMap<String, String>,
) {
    let Value::Object(members) = overlay else {
        remove_sources_below(sources, pointer);
        sources.insert(pointer.to_owned(), file.to_owned());
        *base = overlay;
        return;
    };
    if !base.is_object() {
        remove_sources_below(sources, pointer);
        *base = Value::Object(Map::new());
    }
    let Some(object) = base.as_object_mut() else { return };
    if members.is_empty() && object.is_empty() {
        sources.insert(pointer.to_owned(), file.to_owned());
    }
    for (name, member) in members {
        let path = format!("{pointer}/{}", name.replace('~', "~0").replace('/', "~1"));
        if member.is_null() {
            object.remove(&name);
            remove_sources_below(sources, &path);
            continue;
        }
        sources.remove(pointer);
        overlay_value(object.entry(name).or_insert(Value::Null), member, &path, file, sources);
    }
}

fn remove_sources_below(sources: &mut BTreeMap<String, String>, pointer: &str) {
    let below = format!("{pointer}/");
    sources.retain(|path, _| path != pointer && !path.starts_with(&below));
}
