import type { ServerResponse } from "node:http";
import type { ChatJob } from "./chat_job.js";
import { HttpStatusError } from "./http_status_error.js";

/** A running stream that nobody reads for this long is cancelled. */
const UNREAD_STREAM_MS = 10_000;

/** A finished stream can be read again for this long after its last reader. */
const FINISHED_STREAM_MS = 10_000;

/** Chats by stream id, kept as long as their streams may be read. */
export class ChatJobTable {
  readonly #jobs = new Map<string, ChatJob>();
  readonly #timers = new Map<string, NodeJS.Timeout>();
  readonly #onCancelled: (job: ChatJob) => void;

  constructor(onCancelled: (job: ChatJob) => void) {
    this.#onCancelled = onCancelled;
  }

  add(job: ChatJob): void {
    this.#jobs.set(job.stream.id, job);
  }

  /** Throws {@link HttpStatusError} when no such stream is kept. */
  get(streamId: string | undefined): ChatJob {
    const job = this.#jobs.get(streamId ?? "");
    if (!job) {
      throw new HttpStatusError(404, `No stream ${streamId}`);
    }
    return job;
  }

  /** Forgets a stream and ends it if it is still running. */
  cancel(job: ChatJob): void {
    this.#stopTimer(job);
    this.#jobs.delete(job.stream.id);
    if (!job.stream.ended) {
      this.#onCancelled(job);
      job.stream.end();
    }
  }

  /** Subscribes a response to the events from number `from` on. */
  attach(
    response: ServerResponse,
    job: ChatJob,
    from: number,
    send: (event: string) => void,
    onEnd: () => void,
  ): void {
    this.#stopTimer(job);
    const unsubscribe = job.stream.subscribe(from, send, onEnd);
    const detach = () => {
      unsubscribe();
      this.#onReaderGone(job);
    };
    if (response.destroyed) {
      detach();
    } else {
      response.once("close", detach);
    }
  }

  dispose(): void {
    for (const timer of this.#timers.values()) {
      clearTimeout(timer);
    }
    this.#timers.clear();
    this.#jobs.clear();
  }

  #onReaderGone(job: ChatJob): void {
    const { stream } = job;
    if (!this.#jobs.has(stream.id) || stream.subscriberCount > 0) {
      return;
    }
    this.#stopTimer(job);
    const timeoutMs = stream.ended ? FINISHED_STREAM_MS : UNREAD_STREAM_MS;
    const timer = setTimeout(() => this.cancel(job), timeoutMs);
    this.#timers.set(stream.id, timer);
  }

  #stopTimer({ stream }: ChatJob): void {
    clearTimeout(this.#timers.get(stream.id));
    this.#timers.delete(stream.id);
  }
}
