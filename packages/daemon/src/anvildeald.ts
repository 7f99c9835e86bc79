import { ConfigError } from "@anvildeal/core";
import { cac } from "cac";
import { JsonLogger } from "./logging/index.js";
import { RouterHost } from "./router/index.js";
import { loadSettings } from "./settings/index.js";
import { SidecarHost } from "./sidecar/index.js";

const EXIT_USAGE = 2;

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

async function run(settingsFile: string): Promise<void> {
  const settings = loadSettings(settingsFile);
  // Without a handler the signal would end a process that starts and reset the
  // connections which it has accepted.
  const stopRequested = new Promise((resolve) =>
    STOP_SIGNALS.forEach((signal) => process.on(signal, resolve))
  );
  const host = settings.role === "router"
    ? await RouterHost.create(settings)
    : new SidecarHost(settings);
  const addresses = await host.start();
  host.logUnhandledErrors();
  process.stdout.write(`${JSON.stringify({ ready: true, ...addresses })}\n`);
  await stopRequested;
  await host.drain();
  host.dispose();
  process.exit(0);
}

const cli = cac("anvildeald");
cli.command("<settings>", "Run a router or a sidecar, as the settings say")
  .action((settingsFile: string) => {
    run(settingsFile).catch((error: unknown) => {
      STOP_SIGNALS.forEach((signal) => process.removeAllListeners(signal));
      if (error instanceof ConfigError) {
        // The node id and the log level are unknown without valid settings.
        new JsonLogger("unknown", "error").log("settings_invalid", {
          settings_file: settingsFile,
          detail: error.message,
        });
      }
      const text = error instanceof ConfigError
        ? error.message
        : error instanceof Error
        ? error.stack
        : String(error);
      process.stderr.write(`${text}\n`);
      process.exitCode = error instanceof ConfigError ? EXIT_USAGE : 1;
    });
  });
cli.help();
cli.parse();
