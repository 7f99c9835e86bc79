import { readSettingsFile, SETTINGS_VARIABLE } from "@anvildeal/platform";
import { PassThrough } from "./pass_through.js";

const settingsPath = process.env[SETTINGS_VARIABLE];
if (settingsPath === undefined) {
  process.stderr.write(
    `${SETTINGS_VARIABLE} is not set; set it to the settings file\n`,
  );
  process.exitCode = 2;
} else {
  const passThrough = new PassThrough(readSettingsFile(settingsPath));
  process.on("SIGTERM", () => {
    void passThrough.stop().then(() => process.exit(0));
  });
  passThrough.start().catch((error: unknown) => {
    process.stderr.write(`cannot start: ${error}\n`);
    process.exit(1);
  });
}
