//! The `winchvane` command against a running region: its output and its exit status.

use std::path::{Path, PathBuf};
use std::process::Command;

use tempfile::TempDir;
use winchvane_standin::region::{DECLARATIONS, Region, RegionOptions, wait_for};

struct Operator {
    folder: TempDir,
    server: String,
}

impl Operator {
    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).expect("a file can be written");
        path
    }

    /// Runs the command; returns its exit status, and its standard output and error together.
    fn run(&self, arguments: &[&str]) -> (i32, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_winchvane"))
            .args(["--server", &self.server])
            .args(arguments)
            .output()
            .expect("the command runs");
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&output.stderr));
        (output.status.code().unwrap_or(-1), text)
    }
}

fn text(path: &Path) -> &str {
    path.to_str().expect("a path in UTF-8")
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_print_results_and_return_exit_statuses() {
    let gateway = Path::new(env!("CARGO_BIN_EXE_winchvane-gateway"));
    let bin_folder = gateway.parent().expect("the program is in a folder").to_owned();
    let region = Region::start(RegionOptions { bin_folder, ..RegionOptions::default() }).await;
    let folder = TempDir::new().expect("a folder can be made");
    // Nothing listens at the first server, so the second one is used.
    let server = format!("127.0.0.1:1,{}", region.admin(1));
    let operator = Operator { folder, server };
    let file = operator.write("all.yaml", DECLARATIONS);
    let file = text(&file);

    let (status, printed) = operator.run(&["check", "-f", file]);
    assert_eq!((status, printed.as_str()), (0, "valid: 2 templates, 4 services\n"));
    let (status, printed) = operator.run(&["apply", "-f", file]);
    assert!(status == 0 && printed.contains("0 changed, 6 unchanged"), "{printed}");
    let (status, printed) = operator.run(&["diff", "-f", file]);
    assert_eq!(status, 0, "{printed}");

    let newer = DECLARATIONS.replace("name: lost, version: 1", "name: lost, version: 2");
    let newer = operator.write("newer.yaml", &newer);
    let (status, printed) = operator.run(&["diff", "-f", text(&newer)]);
    assert!(status == 4 && printed.contains("updated"), "{status} {printed}");
    let (status, printed) = operator.run(&["apply", "--dry-run", "-f", text(&newer)]);
    assert!(status == 0 && printed.contains("would be accepted"), "{printed}");
    let (status, printed) = operator.run(&["-o", "json", "apply", "-f", text(&newer)]);
    assert!(status == 0 && printed.contains("\"accepted\": true"), "{printed}");
    let (status, printed) = operator.run(&["apply", "-f", file]);
    assert!(status == 3 && printed.contains("conflict: version 2 is in force"), "{printed}");

    let broken = operator.write("broken.yaml", "kind: Service\nname: x\nversoin: 1\n");
    let (status, printed) = operator.run(&["apply", "-f", text(&broken)]);
    assert!(status == 2 && printed.contains("broken.yaml:3: versoin: unknown field"), "{printed}");

    // The output of `get` can be applied again.
    let (status, printed) = operator.run(&["get", "-o", "yaml"]);
    assert_eq!(status, 0);
    let printed = operator.write("printed.yaml", &printed);
    let (status, printed) = operator.run(&["apply", "-f", text(&printed)]);
    assert!(status == 0 && printed.contains("0 changed, 6 unchanged"), "{printed}");
    assert_eq!(operator.run(&["get", "service", "nobody"]).0, 1);

    let (status, printed) = operator.run(&["status"]);
    assert!(status == 0 && printed.contains("engine-1") && printed.contains("leader"), "{printed}");
    let (status, printed) = operator.run(&["dump"]);
    assert!(status == 0 && printed.contains("\"endpoints_owned\""), "{printed}");
    let (status, _) = operator.run(&["log-level", "debug"]);
    assert_eq!(status, 0);
    wait_for("the log level is set", async || region.gateways[1].log().contains("level=debug"))
        .await;
    assert_eq!(operator.run(&["log-level", "loud=very=much"]).0, 2);
    let nobody = Operator { server: "127.0.0.1:1".to_owned(), ..operator };
    assert_eq!(nobody.run(&["status"]).0, 1);
    assert!(nobody.run(&["completions", "bash"]).1.contains("_winchvane"));
}

#[test]
fn settings_are_checked_before_anything_starts() {
    let folder = TempDir::new().expect("a folder can be made");
    let path = folder.path().join("gateway.yaml");
    std::fs::write(&path, "name: g\nlisten: 1\n").expect("a file can be written");
    for program in
        [env!("CARGO_BIN_EXE_winchvane-gateway"), env!("CARGO_BIN_EXE_winchvane-control")]
    {
        let output = Command::new(program)
            .args(["--check-settings", "--settings", text(&path)])
            .output()
            .expect("the program runs");
        let printed = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{printed}");
        assert!(printed.contains("gateway.yaml:2: listen: unknown field"), "{printed}");
        assert!(printed.contains("the field zone is missing"), "{printed}");
    }
}
