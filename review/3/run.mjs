// A router is cut off while a release brings a second software version. Callers
// take up there the streams that another router began. Judges ORDER.

import { setTimeout as sleep } from "node:timers/promises";
import {
  answerHeaders,
  EndpointStandIn,
  PlatformStandIn,
  route,
  SITE,
  siteConfig,
} from "../../platform/dist/stand_in/index.js";
import { reservePorts } from "../../packages/stand-ins/dist/index.js";
import { CutProxy } from "../lib/cut_proxy.mjs";
import { RawCaller, requestText } from "../lib/raw_caller.mjs";
import { RouterProcess } from "../lib/router_process.mjs";
import { hasTrouble, runCase } from "../lib/run_case.mjs";

const CUT_ROUTER_IP = "127.0.41.1";
const OTHER_ROUTER_IP = "127.0.41.2";
const PEER_PROXY_IP = "127.0.41.3";

/** Routers run for longer than a minute before the release. */
const CALM_MS = 62_000;

/** Times after the cut; the sheet lets a machine be cut off for 12 s. */
const NEW_VERSION_AFTER_MS = 200;
const CALLS_AFTER_MS = 400;
const KILL_AFTER_MS = 1800;

const STREAMS = 16;
const EVENTS = 20;
const EVENT_INTERVAL_MS = 200;
const LIMIT_MS = 12_000;

await runCase(import.meta.dirname, async (record, cleanups) => {
  const platform = new PlatformStandIn(0, 2);
  await platform.start();
  cleanups.push(() => platform.stop());
  platform.store.put(
    "config",
    "main",
    siteConfig(2, {
      routes: [
        route("resume", "streaming", SITE.pool, {
          timeout_ms: LIMIT_MS,
          sticky: true,
          resumable: true,
          max_attempts: 2,
          gap_aim_ms: 2 * EVENT_INTERVAL_MS,
        }),
      ],
    }),
  );
  const [firstOld, secondOld] = platform.poolEndpoints;
  const newer = new EndpointStandIn("pool-3");
  await newer.start();
  cleanups.push(() => newer.stop());
  serve(record, firstOld, "v1");
  serve(record, secondOld, "v1");
  serve(record, newer, "v2");

  const [peerPort] = await reservePorts(PEER_PROXY_IP, 1);
  const routers = [];
  const storeProxy = new CutProxy(
    platform.storeAddress,
    () => routers.map(({ pid }) => pid),
  );
  cleanups.push(() => storeProxy.dispose());
  // Both routers know the store by the same address, as those of one fleet do.
  const storeAddress = `127.0.0.1:${await storeProxy.listen("127.0.0.1")}`;
  const peerProxy = new CutProxy(`${OTHER_ROUTER_IP}:${peerPort}`);
  cleanups.push(() => peerProxy.dispose());
  await peerProxy.listen(PEER_PROXY_IP, peerPort);
  const startRouter = async (name, options) => {
    const router = await RouterProcess.start(name, storeAddress, {
      ...options,
      peerPort,
    });
    cleanups.push(() => router.dispose());
    routers.push(router);
    await router.untilReady();
    return router;
  };
  const other = await startRouter("edge-2", { ip: OTHER_ROUTER_IP });
  const cutOff = await startRouter("edge-1", {
    ip: CUT_ROUTER_IP,
    seedIps: [PEER_PROXY_IP],
  });
  await sleep(CALM_MS);
  if (!routers.every((router) => router.hasLogged("peer_regained"))) {
    throw new Error("the routers are not connected to each other");
  }

  if (hasTrouble) {
    record.note("edge-1 is cut off from the store and from edge-2");
    storeProxy.cut(cutOff.pid);
    peerProxy.cut();
  }
  await sleep(NEW_VERSION_AFTER_MS);
  record.note("release: pool-3 of version v2 is ready, pool-1 is draining");
  platform.store.put(
    "servers",
    newer.id,
    newer.entry(SITE.pool, {
      version: "v2",
    }),
  );
  platform.store.put(
    "servers",
    firstOld.id,
    firstOld.entry(SITE.pool, {
      state: "draining",
      seq: 2,
    }),
  );
  await sleep(CALLS_AFTER_MS - NEW_VERSION_AFTER_MS);

  const streams = Array.from(
    { length: STREAMS },
    (_, i) => beginStream(record, other, `call-${i}`),
  );
  await sleep(KILL_AFTER_MS - CALLS_AFTER_MS);
  record.note("SIGKILL to edge-2");
  other.signal("SIGKILL");
  const taken = await Promise.all(
    streams.map(async (stream) => takeUp(record, cutOff, await stream)),
  );
  if (hasTrouble && cutOff.logLines.some((line) => line.includes(newer.id))) {
    throw new Error("the cut did not hold: edge-1 knows of pool-3");
  }
  return taken.filter(({ isComplete, versions }) =>
    isComplete && versions.length > 1
  ).map(({ id, versions }) =>
    `${id} was answered 200 to its end, joined from ${versions.join(" and ")}`
  );
});

/** Prompts have no part in common, so that no replica has one cached. */
function promptHeaders(id) {
  return {
    "Anvildeal-Model": "m",
    "Anvildeal-Token-Count": "900,80",
    "Anvildeal-Prompt-Prefix": `s${id}:400,p${id}:400,o${id}:100`,
  };
}

async function beginStream(record, router, id) {
  record.note(`${id} sent to ${router.name}`);
  const answer = await new RawCaller(router.ip, router.port).send(
    requestText("POST", "/resume/x", id, {
      body: "prompt",
      deadlineMs: LIMIT_MS,
      headers: promptHeaders(id),
    }),
  );
  const events = eventsOf(answer.body);
  record.note(
    `${id} got ${answer.status} and ${events.length} events, last ` +
      `"${events.at(-1)?.data}", connection ${answer.ending}`,
  );
  return { id, events };
}

/** Takes a stream up after the last event that the caller has. */
async function takeUp(record, router, { id, events }) {
  const nextId = `${id}-again`;
  const lastId = events.at(-1)?.id;
  if (lastId === undefined) {
    return { id, isComplete: false, versions: [] };
  }
  record.note(`${nextId} sent to ${router.name}, Last-Event-Id: ${lastId}`);
  const answer = await new RawCaller(router.ip, router.port).send(
    requestText("POST", "/resume/x", nextId, {
      body: "prompt",
      deadlineMs: LIMIT_MS,
      headers: {
        ...promptHeaders(id),
        "Last-Event-Id": lastId,
        "Resumes": id,
      },
    }),
  );
  const all = [...events, ...eventsOf(answer.body)];
  const versions = [...new Set(all.map(({ data }) => data.split(" ").at(-1)))];
  record.note(
    `${nextId} got ${answer.status}${answer.complete ? "" : ", incomplete"}` +
      `${answer.status === 503 ? ` (${answer.body.trim()})` : ""}, ` +
      `${all.length} of ${EVENTS} events in all, by ${versions.join(" and ")}`,
  );
  const isComplete = answer.status === 200 && answer.complete;
  return { id, isComplete, versions };
}

/** Whole events of a body. */
function eventsOf(body) {
  return [...body.matchAll(/id: (\d+)\ndata: (.*)\n\n/g)]
    .map(([, id, data]) => ({ id, data }));
}

function serve(record, endpoint, version) {
  endpoint.behaviour = async (request, response) => {
    const from = Number(request.headers["last-event-id"] ?? 0);
    record.note(
      `${endpoint.id} of version ${version} runs ` +
        `${request.headers["anvildeal-attempt-id"]} after event ${from}`,
    );
    response.writeHead(200, {
      ...answerHeaders(request),
      "Content-Type": "text/event-stream",
    });
    for (let id = from + 1; id <= EVENTS; id++) {
      response.write(`id: ${id}\ndata: event ${id} by ${version}\n\n`);
      await sleep(EVENT_INTERVAL_MS);
    }
    response.end();
  };
}
