import type { ServerResponse } from "node:http";
import type { ChatJob } from "./chat_job.js";
import { HttpStatusError } from "./http_status_error.js";

/** Time after which a running stream without a reader is cancelled. */
const UNREAD_STREAM_TIMEOUT_MS = 10_000;

/**
 * Time for which a finished stream stays readable after its last reader
 * disconnected.
 */
const FINISHED_STREAM_RETENTION_MS = 10_000;

/** Chat jobs by stream id, kept while their streams may still be read. */
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

  /** Throws {@link HttpStatusError} 404 if the table has no such stream. */
  get(streamId: string | undefined): ChatJob {
    const job = this.#jobs.get(streamId ?? "");
    if (!job) {
      throw new HttpStatusError(404, `No stream ${streamId}`);
    }
    return job;
  }

  /**
   * Removes a job; if its stream is still running, reports the job as cancelled
   * and ends the stream.
   */
  cancel(job: ChatJob): void {
    this.#stopTimer(job);
    this.#jobs.delete(job.stream.id);
    if (!job.stream.ended) {
      this.#onCancelled(job);
      job.stream.end();
    }
  }

  /**
   * Subscribes a response to the events of the job's stream from number `from`
   * on. When the last response that reads the stream closes, a time-out starts
   * that cancels the job.
   */
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
      this.#onReaderDetached(job);
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

  #onReaderDetached(job: ChatJob): void {
    const { stream } = job;
    if (!this.#jobs.has(stream.id) || stream.subscriberCount > 0) {
      return;
    }
    this.#stopTimer(job);
    const timeoutMs = stream.ended
      ? FINISHED_STREAM_RETENTION_MS
      : UNREAD_STREAM_TIMEOUT_MS;
    const timer = setTimeout(() => this.cancel(job), timeoutMs);
    this.#timers.set(stream.id, timer);
  }

  #stopTimer({ stream }: ChatJob): void {
    clearTimeout(this.#timers.get(stream.id));
    this.#timers.delete(stream.id);
  }
}
