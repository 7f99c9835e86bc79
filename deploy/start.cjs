/**
 * Starts the bundled router from V8's code cache, which saves most of the
 * compile time. Callers can connect while the bundle loads. With
 * `--write-cache` it writes the cache and exits instead.
 */
const { readFileSync, writeFileSync } = require("node:fs");
const { createRequire } = require("node:module");
const { join } = require("node:path");
const { Script } = require("node:vm");

// Until the router handles the signals, they would end the process and reset the
// connections of callers that wait for it. The settings are read later.
let earlyStop;
const noteStop = (signal) => {
  earlyStop ??= { signal, receivedMs: performance.now() };
};
process.on("SIGTERM", noteStop);
process.on("SIGINT", noteStop);
process.on("SIGHUP", () => {});

const TARGET = join(__dirname, "../target");
const BUNDLE = join(TARGET, "anvildeal.cjs");
const CACHE = join(TARGET, "anvildeal.cache");

function readCache() {
  try {
    return readFileSync(CACHE);
  } catch {
    // Without a cache V8 compiles the bundle, which only takes longer.
    return undefined;
  }
}

function compile(cachedData) {
  const source = readFileSync(BUNDLE, "utf8");
  return new Script(
    `(function (exports, require, module, __filename, __dirname) {${source}\n})`,
    { filename: BUNDLE, cachedData },
  );
}

/** Evaluates the bundle as a CommonJS module and starts the router. */
function run(script, early) {
  const bundle = { exports: {} };
  const evaluate = script.runInThisContext();
  evaluate(bundle.exports, createRequire(BUNDLE), bundle, BUNDLE, TARGET);
  bundle.exports.startRouter(early, earlyStop);
}

function writeCache() {
  const script = compile(undefined);
  const { warmUp } = require(join(TARGET, "warm_up.cjs"));
  warmUp(() => run(script)).then(
    () => {
      // V8 caches the functions that were compiled during the warm-up too.
      writeFileSync(CACHE, script.createCachedData());
      process.exit(0);
    },
    (error) => {
      // Exits with 0: without a cache the router works but starts more slowly.
      process.stderr.write(
        `warm-up failed, so no code cache was written: ${error.stack}\n`,
      );
      process.exit(0);
    },
  );
}

if (process.argv.includes("--write-cache")) {
  writeCache();
} else {
  const { listenEarly } = require(join(TARGET, "early_listener.cjs"));
  listenEarly().then((early) => run(compile(readCache()), early));
}
