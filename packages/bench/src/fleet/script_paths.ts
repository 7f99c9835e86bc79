import { createRequire } from "node:module";
import { dirname, join } from "node:path";

const require = createRequire(import.meta.url);

/** Path of the built entry point of routers and sidecars. */
export const DAEMON_SCRIPT = join(
  dirname(require.resolve("@anvildeal/daemon")),
  "anvildeald.js",
);
/** Path of the built entry point of the stand-ins. */
export const STAND_IN_SCRIPT = join(
  dirname(require.resolve("@anvildeal/stand-ins")),
  "stand_in_main.js",
);
