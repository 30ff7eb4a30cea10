/**
 * Keeps the crash records that an archive relays on its disk, so that they
 * outlive a power loss of all entry VMs and archives.
 */
import type {Clock, Fingerprint} from '@marigoldpost/common';
import type {Quarantine, QuarantineEntry} from '@marigoldpost/targets';
import {type Archive, quarantineRetentionMs} from '@marigoldpost/turns';

/** Entries are stored again well before the archive may remove them. */
const rewriteIntervalMs = quarantineRetentionMs / 2;
/** One crash concerns many requests, and several entry VMs report it. */
const batchDelayMs = 100;
/** Pause before a failed write is retried. */
const retryDelayMs = 500;

/** Archive and quarantine that a log connects. */
export interface QuarantineLogOptions {
  readonly archive: Pick<Archive, 'storeQuarantines'>;
  readonly quarantine: Quarantine;
  readonly clock: Clock;
  readonly onFailed: (error: unknown) => void;
}

/**
 * Writes changed entries in the background. An entry VM keeps its records in
 * memory and sends them again to an archive that restarts, so no reply has to
 * wait for the disk.
 */
export class QuarantineLog {
  private readonly unwritten = new Map<Fingerprint, QuarantineEntry>();
  private isWriting = false;
  private isStopped = false;

  private constructor(private readonly options: QuarantineLogOptions) {}

  /**
   * Creates a log; it writes after the first `add`.
   * @param options - Archive, quarantine and clock.
   */
  static create(options: QuarantineLogOptions): QuarantineLog {
    return new QuarantineLog(options);
  }

  /**
   * Stores entries soon; the last one of each request is enough.
   * @param entries - Entries of the quarantine that have changed.
   */
  add(entries: readonly QuarantineEntry[]): void {
    for (const entry of entries) this.unwritten.set(entry.fingerprint, entry);
    if (!this.isWriting) void this.write();
  }

  /**
   * Stores the entries that the quarantine keeps again, before they expire.
   * @param signal - Stops the log when aborted.
   */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.stop());
    while (!signal.aborted) {
      await this.options.clock.sleep(rewriteIntervalMs, signal);
      this.add(this.options.quarantine.getKeptEntries());
    }
  }

  /** Starts no further write. */
  stop(): void {
    this.isStopped = true;
  }

  private async write(): Promise<void> {
    const {archive, clock, onFailed} = this.options;
    this.isWriting = true;
    while (this.unwritten.size > 0) {
      await clock.sleep(batchDelayMs);
      if (this.isStopped) return;
      const entries = [...this.unwritten.values()];
      this.unwritten.clear();
      try {
        await archive.storeQuarantines(entries);
      } catch (error) {
        onFailed(error);
        this.restoreUnwritten(entries);
        await clock.sleep(retryDelayMs);
      }
    }
    this.isWriting = false;
  }

  /** Adds entries that were not written, unless they have changed since. */
  private restoreUnwritten(entries: readonly QuarantineEntry[]): void {
    for (const entry of entries) {
      const {fingerprint} = entry;
      if (this.unwritten.has(fingerprint)) continue;
      this.unwritten.set(fingerprint, entry);
    }
  }
}
