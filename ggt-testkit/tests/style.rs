//! Style rules that neither rustfmt nor clippy checks.

use std::path::Path;
use std::path::PathBuf;

fn sources() -> Vec<PathBuf> {
    let root =
        Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("crate should be in a workspace");
    let mut folders = vec![root.to_owned()];
    let mut files = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).expect("should read the folder").flatten() {
            let path = entry.path();
            let is_ours = !path.ends_with("target") && !path.ends_with(".git");
            if path.is_dir() && is_ours {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                files.push(path);
            }
        }
    }
    files.sort();
    files
}

/// Group of an import: 0 for the standard library, 1 for other crates, 2 for this workspace.
fn group_of(line: &str) -> u8 {
    let first = line.trim_start_matches("pub ").trim_start_matches("use ");
    let name = first.split("::").next().unwrap_or_default();
    match name {
        "std" | "core" | "alloc" => 0,
        "crate" | "super" | "self" => 2,
        _ if name.starts_with("ggt_") || name == "claim_simulation" => 2,
        _ => 1,
    }
}

#[test]
fn one_import_per_line() {
    for file in sources() {
        let text = std::fs::read_to_string(&file).expect("should read the file");
        for (number, line) in text.lines().enumerate() {
            let is_import = line.starts_with("use ") || line.starts_with("pub use ");
            let location = format!("{}:{}", file.display(), number + 1);
            assert!(!(is_import && line.contains('{')), "{location}: several imports on one line");
            assert!(!(is_import && line.ends_with("::*;")), "{location}: a glob import");
        }
    }
}

#[test]
fn imports_are_in_three_groups() {
    for file in sources() {
        let text = std::fs::read_to_string(&file).expect("should read the file");
        let mut last: Option<(u8, bool)> = None;
        for (number, line) in text.lines().enumerate() {
            let location = format!("{}:{}", file.display(), number + 1);
            if line.starts_with("use ") {
                let group = group_of(line);
                if let Some((before, was_blank)) = last {
                    assert!(
                        group >= before,
                        "{location}: import groups must be std, other crates, this workspace"
                    );
                    assert!(
                        group == before || was_blank,
                        "{location}: a blank line must separate import groups"
                    );
                }
                last = Some((group, false));
            } else if line.is_empty() {
                last = last.map(|(group, _)| (group, true));
            } else if !line.starts_with("//")
                && !line.starts_with("#!")
                && !line.starts_with("mod ")
            {
                last = None;
            }
        }
    }
}
