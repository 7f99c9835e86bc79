/**
 * Starts the bundled router from V8's code cache, which saves most of the time
 * of compiling it; callers can connect meanwhile. With `--write-cache` it writes the cache instead.
 */
const { readFileSync, writeFileSync } = require("node:fs");
const { createRequire } = require("node:module");
const { join } = require("node:path");
const { Script } = require("node:vm");

const TARGET = join(__dirname, "../target");
const BUNDLE = join(TARGET, "anvildeal.cjs");
const CACHE = join(TARGET, "anvildeal.cache");

function readCache() {
  try {
    return readFileSync(CACHE);
  } catch {
    // Without a cache the bundle is compiled, which only takes longer.
    return undefined;
  }
}

function load(cachedData) {
  const source = readFileSync(BUNDLE, "utf8");
  return new Script(
    `(function (exports, require, module, __filename, __dirname) {${source}\n})`,
    { filename: BUNDLE, cachedData },
  );
}

function run(script, early) {
  const bundle = { exports: {} };
  const start = script.runInThisContext();
  start(bundle.exports, createRequire(BUNDLE), bundle, BUNDLE, TARGET);
  bundle.exports.startRouter(early);
}

function writeCache() {
  const script = load(undefined);
  const { warmUp } = require(join(TARGET, "warm_up.cjs"));
  warmUp(() => run(script)).then(
    () => {
      // Functions that ran during the warm-up are part of the cache.
      writeFileSync(CACHE, script.createCachedData());
      process.exit(0);
    },
    (error) => {
      // A router without a cache works; it only starts more slowly.
      process.stderr.write(`no code cache was written: ${error.stack}\n`);
      process.exit(0);
    },
  );
}

if (process.argv.includes("--write-cache")) {
  writeCache();
} else {
  const { listenEarly } = require(join(TARGET, "early_listener.cjs"));
  listenEarly().then((early) => run(load(readCache()), early));
}
