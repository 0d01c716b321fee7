//! Plays one case of the second review. `standin CASE FOLDER`; `TROUBLE=0` plays it without its disruption.

mod partition;
mod pools;
mod shutdown;
mod upgrades;
mod uploads;
mod world;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("standin CASE FOLDER");
        std::process::exit(world::CANNOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let scratch = std::env::temp_dir().join(format!("heronhoist-review-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let folder = PathBuf::from(folder);
    let verdict = match case.as_str() {
        "partition" => partition::run(&folder, &scratch, trouble),
        "pools" => pools::run(&folder, &scratch, trouble),
        "upgrades" => upgrades::run(&folder, &scratch, trouble),
        "uploads" => uploads::run(&folder, &scratch, trouble),
        "shutdown" => shutdown::run(&folder, &scratch, trouble),
        _ => world::CANNOT_RUN,
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    } else {
        eprintln!("{}", scratch.display());
    }
    println!("{case}: {}", ["held", "broken", "cannot run"][verdict as usize]);
    std::process::exit(verdict);
}
