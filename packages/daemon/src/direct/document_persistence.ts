import type { Millis } from "@anvildeal/core";
import type { Logger } from "../logging/index.js";
import type { Disposable } from "../net/index.js";
import type { SharedDocument } from "./shared_document.js";

const FIRST_RETRY_MS: Millis = 300;
const MAX_RETRY_MS: Millis = 3000;

/**
 * Number of failed reads after which no timer retries any more. The next read
 * then happens when the directory answers another call.
 */
const MAX_READ_ATTEMPTS = 6;

/** Minimum time between two writes, since the platform charges for each write. */
const WRITE_INTERVAL_MS: Millis = 1000;

export interface DocumentPersistenceOptions {
  readonly document: SharedDocument;
  readonly logger: Logger;
  /** Whether this router is the one that writes the document for the fleet. */
  readonly isWriter: () => boolean;
}

/**
 * Keeps a document of the fleet in the directory, so that routers which all
 * restart at once still know what it holds. It is read at the start, and written
 * by one router when it has changed.
 */
export abstract class DocumentPersistence implements Disposable {
  protected readonly options: DocumentPersistenceOptions;
  readonly #label: string;
  #failedReads = 0;
  #retryMs: Millis = FIRST_RETRY_MS;
  #retryTimer: NodeJS.Timeout | undefined;
  /** The last read failed, and no other read has begun since. */
  #readFailed = false;
  #writeDelayTimer: NodeJS.Timeout | undefined;
  /** Whether the stored document was read; until then it is not replaced. */
  #hasRead = false;
  #changed = false;
  #writing = false;
  #disposed = false;

  /** @param label Name of the document in the log. */
  constructor(label: string, options: DocumentPersistenceOptions) {
    this.#label = label;
    this.options = options;
  }

  /** Whether a write must include what others have stored meanwhile. */
  protected abstract readonly mergesStored: boolean;

  /** Returns the document as this router knows it. */
  protected abstract encode(): unknown;

  /**
   * Takes over the stored document; undefined if there is none. Throws if it
   * cannot be decoded.
   */
  protected abstract apply(value: unknown): void;

  /** Reads the document in the background; failures are logged and retried. */
  start(): void {
    void this.#read();
  }

  /**
   * Reads the document immediately if the last read failed: a router that
   * started during an outage must know its contents before requests arrive.
   * Call it after each successful call to the directory.
   */
  handleDirectoryAnswer(): void {
    if (this.#readFailed) {
      clearTimeout(this.#retryTimer);
      void this.#read();
    }
  }

  /** Requests a write, which {@link writeIfDue} makes. */
  markChanged(): void {
    this.#changed = true;
  }

  /**
   * Writes the document if it changed, this router is the writer and has read the
   * document, and the minimum time since the last write has passed. Call
   * periodically.
   */
  writeIfDue(): void {
    if (
      !this.#changed || !this.#hasRead || this.#writing ||
      this.#writeDelayTimer !== undefined || !this.options.isWriter()
    ) {
      return;
    }
    this.#changed = false;
    void this.#write();
  }

  dispose(): void {
    this.#disposed = true;
    this.#readFailed = false;
    clearTimeout(this.#retryTimer);
    clearTimeout(this.#writeDelayTimer);
  }

  /** Reads the stored document and applies it. Logs a failure and returns false. */
  protected async reload(): Promise<boolean> {
    try {
      this.apply(await this.options.document.read());
      return true;
    } catch (error) {
      this.#logFailure("read", error);
      return false;
    }
  }

  async #read(): Promise<void> {
    this.#readFailed = false;
    if (await this.reload()) {
      this.#hasRead = true;
      return;
    }
    this.#readFailed = !this.#disposed;
    this.#failedReads++;
    if (!this.#disposed && this.#failedReads < MAX_READ_ATTEMPTS) {
      this.#retryTimer = setTimeout(() => void this.#read(), this.#retryMs);
      this.#retryTimer.unref();
      this.#retryMs = Math.min(MAX_RETRY_MS, this.#retryMs * 2);
    }
  }

  async #write(): Promise<void> {
    this.#writing = true;
    try {
      if (this.mergesStored && !await this.reload()) {
        this.#changed = true;
      } else {
        await this.options.document.write(this.encode());
      }
    } catch (error) {
      this.#changed = true;
      this.#logFailure("write", error);
    } finally {
      this.#writing = false;
    }
    if (!this.#disposed) {
      this.#writeDelayTimer = setTimeout(() => {
        this.#writeDelayTimer = undefined;
      }, WRITE_INTERVAL_MS);
    }
  }

  #logFailure(call: "read" | "write", error: unknown): void {
    this.options.logger.log("directory_call_failed", {
      label: this.#label,
      call,
      detail: error instanceof Error ? error.message : String(error),
    });
  }
}
