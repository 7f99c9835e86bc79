// Callers use kept connections one request after the other while the routers
// are stopped in turn, as planned work. Judges LOST.

import { setTimeout as sleep } from "node:timers/promises";
import {
  answerHeaders,
  PlatformStandIn,
} from "../../platform/dist/stand_in/index.js";
import { RawCaller, requestText } from "../lib/raw_caller.mjs";
import { RouterProcess } from "../lib/router_process.mjs";
import { hasTrouble, runCase } from "../lib/run_case.mjs";

const ROUTERS = 2;
const CALLERS = 120;
const RAMP_UP_MS = 1500;

/** Time from the SIGTERM of one router to that of the next one. */
const STOP_INTERVAL_MS = 4000;

/** Streams last for half a second to a second. */
const EVENTS = 10;
const MIN_EVENT_MS = 50;
const MAX_EVENT_MS = 100;
const WRITE_MS = 20;

/** Time limits of the callers. */
const STREAM_LIMIT_MS = 12_000;
const WRITE_LIMIT_MS = 1000;

const RECONNECT_MS = 50;

/** Time after which no request that was sent can still begin to run. */
const LAST_RUNS_MS = 1000;

await runCase(import.meta.dirname, async (record, cleanups) => {
  const runs = new Map();
  const platform = new PlatformStandIn(3, 3);
  await platform.start();
  cleanups.push(() => platform.stop());
  const noteRun = (request, endpoint) => {
    const id = request.headers["anvildeal-attempt-id"];
    runs.set(id, (runs.get(id) ?? 0) + 1);
    record.note(`${endpoint.id} runs ${id}`);
  };
  const serve = (endpoints, answer) => {
    for (const endpoint of endpoints) {
      endpoint.behaviour = (request, response) => {
        noteRun(request, endpoint);
        return answer(request, response);
      };
    }
  };
  serve(platform.poolEndpoints, answerStream);
  serve(platform.appEndpoints, answerWrite);

  const routers = [];
  for (let i = 0; i < ROUTERS; i++) {
    const router = await RouterProcess.start(
      `edge-${i + 1}`,
      platform.storeAddress,
    );
    cleanups.push(() => router.dispose());
    routers.push(router);
    await router.untilReady();
  }

  const load = { isOn: true };
  const unanswered = [];
  const callers = Array.from({ length: CALLERS }, async (_, callerIndex) => {
    let count = 0;
    let routerIndex = callerIndex;
    while (load.isOn) {
      const router = routers[routerIndex++ % ROUTERS];
      const caller = new RawCaller(router.ip, router.port);
      let isRefused = false;
      for (let isOpen = true; isOpen && load.isOn; count++) {
        const kind = count % 2 === 0 ? "chat" : "write";
        const id = `${kind}-${callerIndex}-${count}`;
        record.note(`${id} sent to ${router.name}`);
        const answer = await caller.send(
          requestText("POST", `/${kind}/x`, id, {
            body: "text",
            deadlineMs: kind === "chat" ? STREAM_LIMIT_MS : WRITE_LIMIT_MS,
          }),
        );
        const { complete, ending, headers, status } = answer;
        record.note(
          `${id} got ${status}${complete ? "" : ", incomplete"}` +
            `${ending ? `, connection ${ending}` : ""}`,
        );
        if (!complete) {
          unanswered.push({ id, status, ending });
        }
        isRefused = status === 0;
        isOpen = !ending && headers.connection !== "close";
      }
      caller.close();
      if (isRefused) {
        await sleep(RECONNECT_MS);
      }
    }
  });

  await sleep(RAMP_UP_MS);
  for (const router of routers) {
    if (hasTrouble) {
      record.note(`SIGTERM to ${router.name}`);
      router.signal("SIGTERM");
    }
    await sleep(STOP_INTERVAL_MS);
  }
  load.isOn = false;
  await Promise.all(callers);
  await sleep(LAST_RUNS_MS);
  return unanswered.filter(({ id }) => runs.has(id)).map((
    { id, status, ending },
  ) =>
    `${id} was passed on and run; its connection ${ending} with ` +
    `${status === 0 ? "no answer" : "a part of the answer"}`
  );
});

async function answerStream(request, response) {
  const pauseMs = MIN_EVENT_MS + Math.random() * (MAX_EVENT_MS - MIN_EVENT_MS);
  response.writeHead(200, {
    ...answerHeaders(request),
    "Content-Type": "text/event-stream",
  });
  for (let id = 1; id <= EVENTS; id++) {
    response.write(`id: ${id}\ndata: event ${id}\n\n`);
    await sleep(pauseMs);
  }
  response.end();
}

async function answerWrite(request, response) {
  await sleep(WRITE_MS);
  response.writeHead(200, {
    ...answerHeaders(request),
    "Content-Length": 4,
  }).end("done");
}
