import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { Instance } from "./instance_list.js";
import { InstanceList } from "./instance_list.js";

/**
 * Polls until the check passes; the time-out is long enough for a busy machine.
 */
function waitFor(check: () => unknown): Promise<unknown> {
  return vi.waitFor(check, { timeout: 30_000 });
}

const router: Instance = {
  instance_id: "r1",
  role: "router",
  pool: "",
  address: "127.0.0.1:7000",
  failure_domain: "a",
  state: "live",
};

let list: InstanceList;

beforeEach(async () => {
  list = new InstanceList();
  await list.start();
});
afterEach(() => list.dispose());

function readList(etag?: string | null): Promise<Response> {
  const headers = etag ? { "if-none-match": etag } : undefined;
  return fetch(`${list.url}/instances`, { headers });
}

async function visibleIds(): Promise<string[]> {
  const body = await (await readList()).json() as { instances: Instance[] };
  return body.instances.map((instance) => instance.instance_id);
}

describe("InstanceList", () => {
  it("answers 304 while the list is unchanged, so that polls stay small", async () => {
    await fetch(`${list.url}/instances/r1`, {
      method: "PUT",
      body: JSON.stringify(router),
    });
    const first = await readList();
    expect(await first.json()).toMatchObject({ instances: [router] });
    const etag = first.headers.get("etag");
    expect((await readList(etag)).status).toBe(304);
    await fetch(`${list.url}/instances/r1`, { method: "DELETE" });
    const changed = await readList(etag);
    expect(await changed.json()).toMatchObject({ instances: [] });
  });

  it("rejects an instance that does not match the published schema", async () => {
    const response = await fetch(`${list.url}/instances/r1`, {
      method: "PUT",
      body: JSON.stringify({ ...router, state: "gone" }),
    });
    expect(response.status).toBe(400);
  });

  it("shows a change only after the lag", async () => {
    await list.setFaults({ lag_ms: 3_600_000 });
    list.put(router);
    expect(await visibleIds()).toEqual([]);
    await list.setFaults({ lag_ms: 20 });
    await waitFor(async () => expect(await visibleIds()).toEqual(["r1"]));
  });

  it("shows the list as it was when it was frozen until the freeze ends", async () => {
    list.put(router);
    await list.setFaults({ frozen: true });
    list.put({ ...router, instance_id: "r2" });
    expect(await visibleIds()).toEqual(["r1"]);
    await list.setFaults({ frozen: false });
    expect(await visibleIds()).toEqual(["r1", "r2"]);
  });
});
