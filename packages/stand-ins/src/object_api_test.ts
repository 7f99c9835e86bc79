import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ObjectApi, type ObjectApiFaults } from "./object_api.js";

/**
 * Polls until the check passes; the time-out is long enough for a busy machine.
 */
function waitFor(check: () => unknown): Promise<unknown> {
  return vi.waitFor(check, { timeout: 30_000 });
}

let api: ObjectApi;

beforeEach(async () => {
  api = new ObjectApi();
  await api.start();
});
afterEach(() => api.dispose());

function put(
  key: string,
  value: unknown,
  condition: Record<string, string> = { "if-none-match": "*" },
): Promise<Response> {
  return fetch(`${api.url}/objects/${key}`, {
    method: "PUT",
    headers: condition,
    body: JSON.stringify(value),
  });
}

function get(path: string): Promise<Response> {
  return fetch(api.url + path);
}

async function getJson(path: string): Promise<Record<string, unknown>> {
  return await (await get(path)).json() as Record<string, unknown>;
}

function setFaults(faults: ObjectApiFaults): Promise<Response> {
  return fetch(`${api.controlUrl}/faults`, {
    method: "POST",
    body: JSON.stringify(faults),
  });
}

describe("ObjectApi", () => {
  describe("conditional writes", () => {
    it("creates a key once and returns the stored object to later creators", async () => {
      expect(await (await put("a", 1)).json()).toEqual({ version: 1 });
      const second = await put("a", 2);
      expect(second.status).toBe(412);
      expect(await second.json()).toEqual({ key: "a", version: 1, value: 1 });
    });

    it("updates and deletes only the version that the caller read", async () => {
      await put("a", 1);
      expect((await put("a", 2, { "if-match": `"1"` })).status).toBe(200);
      expect((await put("a", 3, { "if-match": `"1"` })).status).toBe(412);
      const remove = (version: number) =>
        fetch(`${api.url}/objects/a`, {
          method: "DELETE",
          headers: { "if-match": `"${version}"` },
        });
      expect((await remove(1)).status).toBe(412);
      expect((await remove(2)).status).toBe(204);
      expect((await get("/objects/a")).status).toBe(404);
    });

    it("never reuses a version after a delete", async () => {
      await put("a", 1);
      api.table.delete("a", 1);
      await put("a", 2);
      expect((await getJson("/objects/a")).version).toBeGreaterThan(1);
    });

    it("rejects a write without a precondition", async () => {
      expect((await put("a", 1, {})).status).toBe(428);
    });
  });

  it("lists a prefix in key order, page by page", async () => {
    for (const key of ["b/3", "b/1", "c/1", "b/2"]) {
      await put(key, key);
    }
    const page = await getJson("/objects?prefix=b/&limit=2&after=b/1");
    expect(page.items).toMatchObject([{ key: "b/2" }, { key: "b/3" }]);
  });

  describe("watches", () => {
    it("answers with a write that happens during the watch", async () => {
      await put("a", 1);
      const watch = get("/watch/a?after=1&timeout_ms=30000");
      await put("a", 2, { "if-match": `"1"` });
      expect(await (await watch).json()).toMatchObject({ version: 2 });
    });

    it("answers 304 at the timeout and counts as one call", async () => {
      expect((await get("/watch/a?after=0&timeout_ms=1")).status).toBe(304);
      expect(await getJson("/stats")).toMatchObject({
        total: 1,
        pending_watches: 0,
      });
    });
  });

  describe("faults", () => {
    it("refuses connections during an outage and keeps its objects", async () => {
      await put("a", 1);
      await setFaults({ outage: "refuse" });
      await expect(get("/objects/a")).rejects.toThrow();
      await setFaults({ outage: "none" });
      expect((await get("/objects/a")).status).toBe(200);
    });

    it("ends an outage after outage_ms without a call to the control port", async () => {
      await setFaults({ outage: "refuse", outage_ms: 20 });
      await waitFor(() => get("/stats"));
    });

    it("does not apply a write that hangs during an outage", async () => {
      await setFaults({ outage: "hang" });
      const write = put("a", 1).catch(() => "reset");
      await waitFor(() => expect(api.unansweredRequests).toBe(1));
      await setFaults({ outage: "none" });
      expect(await write).toBe("reset");
      expect((await get("/objects/a")).status).toBe(404);
    });

    it("applies the next writes whose answers it drops, and no more", async () => {
      await setFaults({ drop_answers: { key_prefix: "x/", next_writes: 1 } });
      await expect(put("x/1", 1)).rejects.toThrow();
      expect((await get("/objects/x/1")).status).toBe(200);
      expect((await put("x/2", 1)).status).toBe(200);
    });

    it("checks the precondition of a delayed write when it is applied", async () => {
      await setFaults({ delay_writes: { delay_ms: 20 } });
      // Timers with equal delays run in order. So once `after` has been written,
      // both delayed writes of `raced` have been tried; the second one failed its
      // precondition, and the version is still 1.
      for (const key of ["raced", "raced", "after"]) {
        await expect(put(key, key)).rejects.toThrow();
      }
      await get("/watch/after?after=0&timeout_ms=30000");
      expect(await getJson("/objects/raced")).toMatchObject({ version: 1 });
    });
  });
});
