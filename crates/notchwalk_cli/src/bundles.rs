//! `notchwalk bundle`.

use std::{net::SocketAddr, path::Path};

use notchwalk_bundle::{Manifest, Part, PART_NAMES};
use notchwalk_http::Client;
use notchwalk_platform::{
    fetch_bundle, fetch_head, fetch_manifest, submit, BundleHead, FetchedBundle, HttpPlatform,
};
use similar::TextDiff;

use crate::{
    arguments::{BundleCommand, Signer},
    error::CliError,
    keys::read_private_key,
    proposal::{read_parts, Proposal},
    settings,
    state::{read_dump, table},
};

/// Context lines shown around each change in a diff.
const CONTEXT_LINES: usize = 2;

fn platform_client(addr: SocketAddr) -> HttpPlatform {
    HttpPlatform::new(Client::new(), addr)
}

/// Runs a subcommand.
///
/// # Errors
///
/// Fails if the input is invalid or the platform or a daemon does not respond.
pub async fn run(command: BundleCommand) -> Result<(), CliError> {
    match command {
        BundleCommand::New { dir } => write_example(&dir),
        BundleCommand::Check { dir } => settings::check(None, Some(&dir)),
        BundleCommand::Diff { platform, dir } => {
            let parts = read_parts(&dir)?;
            let in_force = fetch_in_force(&platform_client(platform)).await?;
            print_diff(in_force.as_ref().map(|(_, b)| &b.parts[..]), &parts);
            Ok(())
        }
        BundleCommand::Propose {
            platform,
            signer,
            reason,
            out,
            dir,
        } => {
            let parts = read_parts(&dir)?;
            let head = fetch_head(&platform_client(platform)).await?;
            propose(head, &reason, parts, &signer, &out)
        }
        BundleCommand::Review { platform, proposal } => {
            review(&platform_client(platform), &proposal).await
        }
        BundleCommand::Sign { signer, proposal } => {
            let mut change = Proposal::load(&proposal)?;
            change
                .manifest
                .sign(&signer.operator, &read_private_key(&signer.key)?);
            change.save(&proposal)?;
            println!(
                "{} signed version {}",
                signer.operator, change.manifest.version
            );
            Ok(())
        }
        BundleCommand::Submit { platform, proposal } => {
            let change = Proposal::load(&proposal)?;
            let platform = platform_client(platform);
            let head = submit(&platform, &change.manifest, &change.parts).await?;
            println!("version {} accepted", head.version);
            Ok(())
        }
        BundleCommand::History { platform, most } => {
            history(&platform_client(platform), most).await
        }
        BundleCommand::Rollback {
            platform,
            signer,
            out,
            version,
        } => {
            let platform = platform_client(platform);
            let head = fetch_head(&platform).await?;
            let old = find_version(&platform, head.as_ref(), version).await?;
            let reason = format!("back to the content of version {version}");
            propose(head, &reason, old.parts, &signer, &out)
        }
        BundleCommand::Status { platform, operator } => {
            status(&platform_client(platform), &operator).await
        }
    }
}

fn write_example(dir: &Path) -> Result<(), CliError> {
    const EXAMPLES: [&str; 5] = [
        "# Put the public keys of 'notchwalk key new' here.\n[operator amna]\npublic_key = \n\
         roles = author, reviewer\n\n[operator said]\npublic_key = \nroles = author, reviewer\n",
        "[model lampwise]\ncontext_tokens = 1048576\nversions = v1\n",
        "[service bookdesk]\ntimeout_ms = 10000\nrepeatable_methods = GET, HEAD\n",
        "# Put the output of 'notchwalk key hash' here.\n[workspace desk]\nweight = 1\n\
         key_hashes = \nmodels = lampwise\nservices = bookdesk\n",
        "[policy]\nkind = fair\n",
    ];
    std::fs::create_dir_all(dir).map_err(CliError::file(dir))?;
    for (name, text) in PART_NAMES.into_iter().zip(EXAMPLES) {
        let path = dir.join(name.file_name());
        if path.exists() {
            println!("{}: exists; not overwritten", path.display());
            continue;
        }
        std::fs::write(&path, text).map_err(CliError::file(&path))?;
        println!("{}", path.display());
    }
    Ok(())
}

/// Fetches the active bundle; returns `None` if no bundle was accepted yet.
async fn fetch_in_force(
    platform: &HttpPlatform,
) -> Result<Option<(BundleHead, FetchedBundle)>, CliError> {
    let Some(head) = fetch_head(platform).await? else {
        return Ok(None);
    };
    let bundle = fetch_bundle(platform, &head.manifest, &[]).await?;
    Ok(Some((head, bundle)))
}

fn propose(
    head: Option<BundleHead>,
    reason: &str,
    parts: Vec<Part>,
    signer: &Signer,
    out: &Path,
) -> Result<(), CliError> {
    let key = read_private_key(&signer.key)?;
    let previous = head.map(|head| (head.version, head.manifest));
    let mut proposal = Proposal::new(previous, reason, parts);
    proposal.manifest.sign(&signer.operator, &key);
    proposal.save(out)?;
    let version = proposal.manifest.version;
    println!(
        "{}: proposal of version {version}; a reviewer must sign it before it is submitted",
        out.display()
    );
    Ok(())
}

async fn review(platform: &HttpPlatform, path: &Path) -> Result<(), CliError> {
    let proposal = Proposal::load(path)?;
    let in_force = fetch_in_force(platform).await?;
    print_manifest(&proposal.manifest);
    let version = in_force.as_ref().map_or(0, |(head, _)| head.version);
    if proposal.manifest.version != version + 1 {
        println!("version {version} is now in force: this proposal would be rejected");
    }
    print_diff(
        in_force.as_ref().map(|(_, b)| &b.parts[..]),
        &proposal.parts,
    );
    Ok(())
}

fn print_manifest(manifest: &Manifest) {
    let names = manifest.signatures.iter().map(|s| s.operator.as_str());
    println!("version {}", manifest.version);
    println!("reason  {}", manifest.reason);
    println!("signed  {}", names.collect::<Vec<_>>().join(", "));
    println!("digest  {}", manifest.digest());
}

fn print_diff(before: Option<&[Part]>, after: &[Part]) {
    let mut changed = false;
    for part in after {
        let old = before.and_then(|parts| parts.iter().find(|p| p.name == part.name));
        let old = old.map_or("", |p| &p.text);
        if old == part.text {
            continue;
        }
        changed = true;
        let file = part.name.file_name();
        let diff = TextDiff::from_lines(old, &part.text);
        let mut unified = diff.unified_diff();
        let unified = unified
            .context_radius(CONTEXT_LINES)
            .header("in force", &file);
        print!("{unified}");
    }
    if !changed {
        println!("no differences from the bundle in force");
    }
}

async fn history(platform: &HttpPlatform, most: usize) -> Result<(), CliError> {
    let mut table = table(&["version", "signed by", "reason", "manifest"]);
    let mut next = fetch_head(platform).await?.map(|head| head.manifest);
    for _ in 0..most {
        let Some(digest) = next.take().filter(|d| !d.is_empty()) else {
            break;
        };
        let manifest = fetch_manifest(platform, &digest).await?;
        let names = manifest.signatures.iter().map(|s| s.operator.as_str());
        table.add_row([
            manifest.version.to_string(),
            names.collect::<Vec<_>>().join(", "),
            manifest.reason.clone(),
            digest[..12].to_owned(),
        ]);
        next = Some(manifest.previous);
    }
    println!("{table}");
    Ok(())
}

/// Fetches a version by following the chain of manifests back from the head.
async fn find_version(
    platform: &HttpPlatform,
    head: Option<&BundleHead>,
    version: u64,
) -> Result<FetchedBundle, CliError> {
    let missing = || CliError::Input(format!("no bundle version {version}"));
    let mut digest = head.ok_or_else(missing)?.manifest.clone();
    while !digest.is_empty() {
        let manifest = fetch_manifest(platform, &digest).await?;
        if manifest.version == version {
            return Ok(fetch_bundle(platform, &digest, &[]).await?);
        }
        digest = manifest.previous;
    }
    Err(missing())
}

async fn status(platform: &HttpPlatform, operators: &[SocketAddr]) -> Result<(), CliError> {
    match fetch_head(platform).await? {
        Some(head) => println!("accepted: version {}", head.version),
        None => println!("accepted: no version"),
    }
    let mut table = table(&["operator address", "vm", "in force", "age"]);
    for operator in operators {
        let row = match read_dump(*operator).await {
            Ok(dump) => [
                operator.to_string(),
                dump["vm"].to_string(),
                format!("version {}", dump["bundle_version"]),
                format!("{} ms", dump["bundle_age_ms"]),
            ],
            Err(e) => [
                operator.to_string(),
                "?".to_owned(),
                e.to_string(),
                String::new(),
            ],
        };
        table.add_row(row);
    }
    println!("{table}");
    Ok(())
}
