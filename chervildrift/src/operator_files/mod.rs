//! Discovery and validation of operators' files.

use std::path::{Path, PathBuf};

use chervildrift_core::config::{Declaration, Finding, check_operator_file};
use quick_error::quick_error;

/// Name of an operator's file beside a service's code.
pub const FILE_NAME: &str = "chervildrift.yaml";

quick_error! {
    /// Error of collecting operators' files.
    #[derive(Debug)]
    pub enum Error {
        /// A file or folder can't be read.
        File(path: PathBuf, err: std::io::Error) {
            display("{}: {}", path.display(), err)
            source(err)
        }
        /// No operators' files were found.
        Empty {
            display("no files named {} were found", FILE_NAME)
        }
    }
}

/// Declarations and mistakes of a set of operators' files.
#[derive(Debug, Default)]
pub struct OperatorFiles {
    /// Declarations of the files without mistakes.
    pub declarations: Vec<Declaration>,
    /// Mistakes, each with the path of its file.
    pub findings: Vec<(PathBuf, Finding)>,
}

/// Finds and validates the files at `paths`, which may be files or folders.
pub fn collect(paths: &[impl AsRef<Path>]) -> Result<OperatorFiles, Error> {
    let mut files = Vec::new();
    for path in paths {
        find_files(path.as_ref(), true, &mut files)?;
    }
    files.sort();
    files.dedup();
    let mut operator_files = OperatorFiles::default();
    for path in files {
        let text = std::fs::read_to_string(&path).map_err(|err| Error::File(path.clone(), err))?;
        match check_operator_file(&text) {
            Ok(declaration) => add_declaration(&mut operator_files, path, declaration),
            Err(findings) => {
                operator_files
                    .findings
                    .extend(findings.into_iter().map(|it| (path.clone(), it)));
            }
        }
    }
    Ok(operator_files)
}

fn add_declaration(operator_files: &mut OperatorFiles, path: PathBuf, declaration: Declaration) {
    let duplicate = operator_files
        .declarations
        .iter()
        .any(|it| it.service == declaration.service);
    if duplicate {
        let finding = Finding {
            line: 1,
            column: 1,
            problem: format!(
                "service {} is declared by another file as well",
                declaration.service
            ),
            expected: "declare each service in one file".to_owned(),
        };
        operator_files.findings.push((path, finding));
    } else {
        operator_files.declarations.push(declaration);
    }
}

fn find_files(path: &Path, explicit: bool, files: &mut Vec<PathBuf>) -> Result<(), Error> {
    let file_error = |err| Error::File(path.to_owned(), err);
    if !path.is_dir() {
        let has_standard_name = path.file_name().is_some_and(|name| name == FILE_NAME);
        if explicit || has_standard_name {
            std::fs::metadata(path).map_err(file_error)?;
            files.push(path.to_owned());
        }
        return Ok(());
    }
    for entry in std::fs::read_dir(path).map_err(file_error)? {
        find_files(&entry.map_err(file_error)?.path(), false, files)?;
    }
    Ok(())
}
