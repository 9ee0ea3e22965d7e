//! `notchwalk key`.

use std::{
    io::{Read, Write},
    path::Path,
};

use notchwalk_bundle::{key_hash, new_signing_key, SigningKey};
use notchwalkd::PeerKey;

use crate::{arguments::KeyCommand, error::CliError};

/// Runs a subcommand.
///
/// # Errors
///
/// Fails if a file can't be written, or standard input can't be read or is empty.
pub fn run(command: &KeyCommand) -> Result<(), CliError> {
    match command {
        KeyCommand::New { out } => {
            let key = new_signing_key();
            write_private_file(out, &format!("{}\n", hex::encode(key.to_bytes())))?;
            println!("{}", hex::encode(key.verifying_key().as_bytes()));
        }
        KeyCommand::Hash => {
            let mut text = String::new();
            let read = std::io::stdin().read_to_string(&mut text);
            read.map_err(CliError::file(Path::new("standard input")))?;
            let key = text.trim();
            if key.is_empty() {
                return Err(CliError::Input("standard input contains no key".to_owned()));
            }
            println!("{}", key_hash(key));
        }
        KeyCommand::Peer => println!("{}", PeerKey::random().to_hex()),
    }
    Ok(())
}

/// Writes a new file that only its owner can read. Fails if the file exists, so that no
/// key is overwritten.
fn write_private_file(path: &Path, text: &str) -> Result<(), CliError> {
    use std::os::unix::fs::OpenOptionsExt;
    const OWNER_ONLY: u32 = 0o600;
    let mut options = std::fs::OpenOptions::new();
    options.write(true).create_new(true).mode(OWNER_ONLY);
    let file = options.open(path);
    let written = file.and_then(|mut file| file.write_all(text.as_bytes()));
    written.map_err(CliError::file(path))
}

/// Reads a private key.
///
/// # Errors
///
/// Fails if the file can't be read or contains no key.
pub fn read_private_key(path: &Path) -> Result<SigningKey, CliError> {
    let text = std::fs::read_to_string(path).map_err(CliError::file(path))?;
    let bytes = hex::decode(text.trim()).ok();
    let bytes = bytes.and_then(|bytes| <[u8; 32]>::try_from(bytes).ok());
    let invalid = || {
        CliError::Input(format!(
            "{}: not a private key of 64 hex digits",
            path.display()
        ))
    };
    Ok(SigningKey::from_bytes(&bytes.ok_or_else(invalid)?))
}
