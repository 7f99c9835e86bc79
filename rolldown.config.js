import { fileURLToPath } from "node:url";

const source = (path) => fileURLToPath(new URL(path, import.meta.url));

/** Bundles the router for the platform into one file, which starts faster. */
export default {
  input: "platform/src/main.ts",
  platform: "node",
  resolve: {
    alias: {
      "@anvildeal/core": source("./packages/core/src/index.ts"),
      "@anvildeal/daemon": source("./packages/daemon/src/direct/index.ts"),
      "undici$": source("./deploy/undici_dispatchers.js"),
    },
    extensionAlias: { ".js": [".ts", ".js"] },
  },
  output: {
    file: "target/anvildeal.cjs",
    format: "cjs",
    minify: true,
    legalComments: "none",
  },
};
