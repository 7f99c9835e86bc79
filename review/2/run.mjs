// Routers are stopped while they pass on answers that have no length and end
// with their connection. Judges MIXED: no cut answer may look complete.

import { setTimeout as sleep } from "node:timers/promises";
import {
  answerHeaders,
  PlatformStandIn,
  route,
  SITE,
  siteConfig,
} from "../../platform/dist/stand_in/index.js";
import { RawCaller, requestText } from "../lib/raw_caller.mjs";
import { RouterProcess } from "../lib/router_process.mjs";
import { hasTrouble, runCase } from "../lib/run_case.mjs";

/** One router is stopped as planned, the other one is killed. */
const SIGNALS = ["SIGTERM", "SIGKILL"];

const CALLS_PER_ROUTER = 80;
const STOP_AFTER_MS = 1500;

/**
 * One of the two replicas leaves the length out of one answer in twenty: the
 * share of replicas and of answers that the site has for it.
 */
const ANSWERS_PER_UNFRAMED = 20;

/** Answers last for 12 s, within the time limit of the route. */
const EVENTS = 60;
const EVENT_INTERVAL_MS = 200;
const LIMIT_MS = 15_000;

await runCase(import.meta.dirname, async (record, cleanups) => {
  const platform = new PlatformStandIn(0, 2);
  await platform.start();
  cleanups.push(() => platform.stop());
  platform.store.put(
    "config",
    "main",
    siteConfig(2, {
      routes: [
        route("chat", "streaming", SITE.pool, {
          timeout_ms: LIMIT_MS,
          gap_aim_ms: 2 * EVENT_INTERVAL_MS,
        }),
      ],
    }),
  );
  const [faulty, sound] = platform.poolEndpoints;
  const counts = new Map();
  const unframedIds = new Set();
  faulty.behaviour = async (request, response) => {
    const id = request.headers["anvildeal-attempt-id"];
    const router = id.replace(/-\d+$/, "");
    const count = (counts.get(router) ?? 0) + 1;
    counts.set(router, count);
    // The last answer of each twenty, so that the share is never above that.
    const isUnframed = count % ANSWERS_PER_UNFRAMED === 0;
    if (isUnframed) {
      unframedIds.add(id);
    }
    record.note(
      `${faulty.id} runs ${id}${isUnframed ? ", answer without length" : ""}`,
    );
    await answer(request, response, isUnframed);
  };
  sound.behaviour = async (request, response) => {
    record.note(`${sound.id} runs ${request.headers["anvildeal-attempt-id"]}`);
    await answer(request, response, false);
  };

  const routers = [];
  for (const signal of SIGNALS) {
    const router = await RouterProcess.start(
      `edge-${signal.toLowerCase()}`,
      platform.storeAddress,
    );
    cleanups.push(() => router.dispose());
    await router.untilReady();
    routers.push({ router, signal });
  }
  const results = await Promise.all(
    routers.map((each) => stopDuringAnswers(record, each)),
  );
  if (unframedIds.size === 0) {
    throw new Error("no answer without a length was given");
  }
  const runs = [...counts.values()].reduce((sum, count) => sum + count, 0);
  record.note(
    `${faulty.id} gave ${unframedIds.size} of ${runs} without length`,
  );
  return results.flat();
});

/** Returns texts about the answers that were cut and look complete. */
async function stopDuringAnswers(record, { router, signal }) {
  const calls = Array.from({ length: CALLS_PER_ROUTER }, async (_, i) => {
    const id = `${router.name}-${i}`;
    record.note(`${id} sent to ${router.name}`);
    const caller = new RawCaller(router.ip, router.port);
    const answer = await caller.send(
      requestText("POST", "/chat/x", id, {
        body: "prompt",
        deadlineMs: LIMIT_MS,
      }),
    );
    const events = answer.body.split("\n\n").length - 1;
    const isSealed = answer.headers["anvildeal-response-seal"] !== undefined;
    record.note(
      `${id} got ${answer.status}${isSealed ? " with seal" : ""}, ` +
        `${events} of ${EVENTS} events, connection ${answer.ending}, ` +
        `${answer.complete ? "looks complete" : "is visibly incomplete"}`,
    );
    return { id, answer, events };
  });
  await sleep(STOP_AFTER_MS);
  if (hasTrouble) {
    record.note(`${signal} to ${router.name}`);
    router.signal(signal);
  }
  return (await Promise.all(calls))
    .filter(({ answer, events }) =>
      answer.status === 200 && answer.complete && events < EVENTS
    )
    .map(({ id, events }) =>
      `${id} is a complete 200 with ${events} of ${EVENTS} events`
    );
}

/** Without a length, the end of the connection is the end of the answer. */
async function answer(request, response, isUnframed) {
  response.useChunkedEncodingByDefault = !isUnframed;
  response.writeHead(200, {
    ...answerHeaders(request),
    "Content-Type": "text/event-stream",
    ...(isUnframed ? { "Connection": "close" } : {}),
  });
  for (let id = 1; id <= EVENTS; id++) {
    response.write(`id: ${id}\ndata: event ${id}\n\n`);
    await sleep(EVENT_INTERVAL_MS);
  }
  response.end();
}
