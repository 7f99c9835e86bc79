// Stand-in for the platform's store: objects in memory, lists, watches and writes.

import { createServer } from "node:http";

const ERA_HEADER = "Store-Era";

/** Store that answers as the pages say; keeps the whole history. */
export class Store {
  #objects = new Map();
  #changes = [];
  #revision = 100;
  #waiting = new Set();
  #server = createServer((request, response) =>
    void this.#answer(request, response)
  );
  address = "";

  async start() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an object as the operator or a replica does. */
  put(kind, name, spec) {
    const known = this.#kind(kind).get(name);
    this.#revision++;
    const object = {
      metadata: {
        name,
        revision: this.#revision,
        create_rev: known?.metadata.create_rev ?? this.#revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: null,
    };
    this.#kind(kind).set(name, object);
    this.#record({ kind, revision: this.#revision, deleted: false, object });
  }

  remove(kind, name) {
    const object = this.#kind(kind).get(name);
    if (object) {
      this.#kind(kind).delete(name);
      this.#revision++;
      this.#record({ kind, revision: this.#revision, deleted: true, object });
    }
  }

  #kind(kind) {
    const known = this.#objects.get(kind) ?? new Map();
    this.#objects.set(kind, known);
    return known;
  }

  #record(change) {
    this.#changes.push(change);
    [...this.#waiting].forEach((notify) => notify());
  }

  async #answer(request, response) {
    const url = new URL(request.url, "http://store");
    const [kind, name] = url.pathname.replace("/v1/objects/", "").split("/")
      .map(decodeURIComponent);
    const watch = url.searchParams.get("watch");
    if (request.method !== "GET") {
      await this.#write(request, response, kind, name);
    } else if (name !== undefined) {
      const object = this.#kind(kind).get(name);
      this.#send(response, object ? 200 : 404, object ?? {});
    } else if (watch === null) {
      this.#list(response, kind, url.searchParams.get("after") ?? "");
    } else {
      const waitMs = Number(url.searchParams.get("wait_ms") ?? 0);
      this.#watch(response, kind, Number(watch), waitMs);
    }
  }

  #list(response, kind, after) {
    const items = [...this.#kind(kind).values()]
      .filter(({ metadata }) => metadata.name > after)
      .sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
    this.#send(response, 200, {
      items,
      more_pages: false,
      as_of: this.#revision,
    });
  }

  #watch(response, kind, after, waitMs) {
    const sendChanges = () => {
      const events = this.#changes
        .filter((change) => change.kind === kind && change.revision > after)
        .map(({ deleted, object }) => ({ deleted, object }));
      if (events.length > 0) {
        this.#send(response, 200, { events, as_of: this.#revision });
      }
      return events.length > 0;
    };
    if (sendChanges()) {
      return;
    }
    const stop = () => {
      clearTimeout(timer);
      this.#waiting.delete(notify);
    };
    const notify = () => sendChanges() && stop();
    const timer = setTimeout(() => {
      stop();
      this.#send(response, 200, { events: [], as_of: this.#revision });
    }, waitMs);
    this.#waiting.add(notify);
    response.once("close", stop);
  }

  async #write(request, response, kind, name) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const { metadata, spec } = JSON.parse(Buffer.concat(chunks).toString());
    const target = name ?? metadata.name;
    const exists = this.#kind(kind).has(target);
    if (request.method === "POST" ? exists : !exists) {
      this.#send(response, exists ? 409 : 404, {});
      return;
    }
    this.put(kind, target, spec);
    this.#send(response, 200, this.#kind(kind).get(target));
  }

  #send(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(text),
      [ERA_HEADER]: 1,
    }).end(text);
  }
}
