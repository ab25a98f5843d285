//! Collection of operators' files.

use std::path::{Path, PathBuf};

use chervildrift_core::config::{Declaration, Finding, check_operator_file};
use quick_error::quick_error;

/// Name of an operator's file beside a service's code.
pub const FILE_NAME: &str = "chervildrift.yaml";

quick_error! {
    /// Why files could not be collected.
    #[derive(Debug)]
    pub enum Error {
        /// A file or folder can't be read.
        File(path: PathBuf, err: std::io::Error) {
            display("{}: {}", path.display(), err)
            source(err)
        }
        /// There is nothing to publish.
        Empty {
            display("no files named {} were found", FILE_NAME)
        }
    }
}

/// What the operators' files declare, and what is wrong in them.
#[derive(Debug, Default)]
pub struct Collected {
    /// Declarations of the files without mistakes.
    pub declarations: Vec<Declaration>,
    /// Mistakes with the files that they are in.
    pub findings: Vec<(PathBuf, Finding)>,
}

/// Collects and checks the files at `paths`.
pub fn collect(paths: &[impl AsRef<Path>]) -> Result<Collected, Error> {
    let mut files = Vec::new();
    for path in paths {
        find(path.as_ref(), true, &mut files)?;
    }
    files.sort();
    files.dedup();
    let mut collected = Collected::default();
    for path in files {
        let text = std::fs::read_to_string(&path).map_err(|err| Error::File(path.clone(), err))?;
        match check_operator_file(&text) {
            Ok(declaration) => take(&mut collected, path, declaration),
            Err(findings) => {
                collected
                    .findings
                    .extend(findings.into_iter().map(|it| (path.clone(), it)));
            }
        }
    }
    Ok(collected)
}

fn take(collected: &mut Collected, path: PathBuf, declaration: Declaration) {
    let twice = collected
        .declarations
        .iter()
        .any(|it| it.service == declaration.service);
    if twice {
        let finding = Finding {
            line: 1,
            column: 1,
            problem: format!(
                "service {} is declared by another file as well",
                declaration.service
            ),
            expected: "declare each service in one file".to_owned(),
        };
        collected.findings.push((path, finding));
    } else {
        collected.declarations.push(declaration);
    }
}

fn find(path: &Path, named: bool, files: &mut Vec<PathBuf>) -> Result<(), Error> {
    let failed = |err| Error::File(path.to_owned(), err);
    if !path.is_dir() {
        let wanted = path.file_name().is_some_and(|name| name == FILE_NAME);
        if named || wanted {
            std::fs::metadata(path).map_err(failed)?;
            files.push(path.to_owned());
        }
        return Ok(());
    }
    for entry in std::fs::read_dir(path).map_err(failed)? {
        find(&entry.map_err(failed)?.path(), false, files)?;
    }
    Ok(())
}
