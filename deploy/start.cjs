/**
 * Starts the bundled router from V8's code cache, which saves most of the time
 * of compiling it. With `--write-cache` it writes the cache instead.
 */
const { readFileSync, writeFileSync } = require("node:fs");
const { createRequire } = require("node:module");
const { join } = require("node:path");
const { Script } = require("node:vm");

const BUNDLE = join(__dirname, "../target/anvildeal.cjs");
const CACHE = join(__dirname, "../target/anvildeal.cache");

function readCache() {
  try {
    return readFileSync(CACHE);
  } catch {
    // Without a cache the bundle is compiled, which only takes longer.
    return undefined;
  }
}

const writeCache = process.argv.includes("--write-cache");
const source = readFileSync(BUNDLE, "utf8");
const script = new Script(
  `(function (exports, require, module, __filename, __dirname) {${source}\n})`,
  { filename: BUNDLE, cachedData: writeCache ? undefined : readCache() },
);
const bundle = { exports: {} };
script.runInThisContext()(
  bundle.exports,
  createRequire(BUNDLE),
  bundle,
  BUNDLE,
  join(__dirname, "../target"),
);
if (writeCache) {
  // Functions that ran during the start are part of the cache.
  writeFileSync(CACHE, script.createCachedData());
  // The router reports the missing settings file as an error, as it should.
  process.exitCode = 0;
}
