import { fileURLToPath } from "node:url";

const source = (path) =>
  fileURLToPath(new URL(`../../${path}`, import.meta.url));

export default {
  input: source("packages/baseline/src/main.ts"),
  platform: "node",
  resolve: {
    alias: {
      "@anvildeal/core": source("packages/core/src/index.ts"),
      "@anvildeal/daemon": source("packages/daemon/src/direct/index.ts"),
      "@anvildeal/platform": source("platform/src/index.ts"),
    },
    extensionAlias: { ".js": [".ts", ".js"] },
  },
  output: { file: source("target/baseline.cjs"), format: "cjs", minify: true },
};
