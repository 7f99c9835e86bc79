import { fileURLToPath } from "node:url";

const source = (path) => fileURLToPath(new URL(path, import.meta.url));

/** Bundles a program into one file, which starts faster. */
const bundle = (input, file) => ({
  input,
  platform: "node",
  resolve: {
    alias: {
      "@anvildeal/core": source("./packages/core/src/index.ts"),
      "@anvildeal/daemon": source("./packages/daemon/src/direct/index.ts"),
      "undici$": source("./deploy/undici_dispatchers.js"),
    },
    extensionAlias: { ".js": [".ts", ".js"] },
  },
  output: { file, format: "cjs", minify: true, comments: { legal: false } },
});

export default [
  bundle("platform/src/main.ts", "target/anvildeal.cjs"),
  bundle("platform/src/warm_up.ts", "target/warm_up.cjs"),
];
