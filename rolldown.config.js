import { fileURLToPath } from "node:url";

const source = (path) => fileURLToPath(new URL(path, import.meta.url));

/** Leaves out undici's HTTP/2 client, which takes much of the start-up time. */
const withoutHttp2 = {
  name: "without-http2",
  resolveId: (id) =>
    id.endsWith("/client-h2.js")
      ? source("./deploy/bundle/no_http2.cjs")
      : undefined,
};

/** Bundles a program into one file, which loads faster than many. */
const bundle = (input, file) => ({
  input,
  platform: "node",
  plugins: [withoutHttp2],
  resolve: {
    alias: {
      "@anvildeal/core": source("./packages/core/src/index.ts"),
      "@anvildeal/daemon": source("./packages/daemon/src/direct/index.ts"),
      "@anvildeal/stand-ins": source(
        "./packages/stand-ins/src/reserve_ports.ts",
      ),
      "prom-client$": source("./deploy/bundle/prom_client_parts.js"),
      "undici$": source("./deploy/bundle/undici_dispatchers.js"),
    },
    extensionAlias: { ".js": [".ts", ".js"] },
  },
  output: { file, format: "cjs", minify: true, comments: { legal: false } },
});

export default [
  bundle("platform/src/start_router.ts", "target/anvildeal.cjs"),
  bundle("platform/src/early_listener.ts", "target/early_listener.cjs"),
  bundle("platform/src/warm_up.ts", "target/warm_up.cjs"),
];
