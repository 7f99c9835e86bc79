import { createRequire } from "node:module";
import { dirname, join } from "node:path";

const require = createRequire(import.meta.url);

/** Built entry points of the processes that the launcher starts. */
export const DAEMON_SCRIPT = join(
  dirname(require.resolve("@anvildeal/daemon")),
  "anvildeald.js",
);
export const STAND_IN_SCRIPT = join(
  dirname(require.resolve("@anvildeal/stand-ins")),
  "stand_in_main.js",
);
