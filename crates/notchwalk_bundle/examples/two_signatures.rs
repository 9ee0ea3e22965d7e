//! A bundle must be signed by an author and by another operator who is a reviewer.
//!
//! Run with `cargo run -p notchwalk_bundle --example two_signatures`.

use notchwalk_bundle::{new_signing_key, Bundle, Manifest, Part, PartName, SigningKey};

fn public_key_hex(key: &SigningKey) -> String {
    let bytes = key.verifying_key().to_bytes();
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn main() {
    let (amna, said) = (new_signing_key(), new_signing_key());
    let operators = format!(
        "[operator amna]\npublic_key = {}\nroles = author\n\
         [operator said]\npublic_key = {}\nroles = reviewer\n",
        public_key_hex(&amna),
        public_key_hex(&said)
    );
    let part = |name, text: &str| Part {
        name,
        text: text.to_owned(),
    };
    let parts = [
        part(PartName::Operators, &operators),
        part(PartName::Models, "[model lampwise]\n"),
        part(PartName::Services, ""),
        part(
            PartName::Workspaces,
            "[workspace desk]\nmodels = lampwise\n",
        ),
        part(PartName::Policy, ""),
    ];
    let bundle = Bundle::parse(1, &parts).expect("the example's bundle is valid");
    let mut manifest = Manifest {
        version: 1,
        previous: String::new(),
        reason: "first bundle".to_owned(),
        parts: parts.iter().map(|p| (p.name, p.digest())).collect(),
        signatures: Vec::new(),
    };
    manifest.sign("amna", &amna);
    println!("author only: {:?}", manifest.verify(&bundle));
    manifest.sign("said", &said);
    println!("author and reviewer: {:?}", manifest.verify(&bundle));
}
