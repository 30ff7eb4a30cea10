/** Reads TLS files again when they change. */
import {readFile, stat} from 'node:fs/promises';
import type {Server} from 'node:https';
import {
  type Clock,
  type Timer,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {TlsFiles} from '@marigoldpost/settings';
import type {EventLogger} from '@marigoldpost/telemetry';

/** Interval between looks at the files, in milliseconds. */
const checkIntervalMs = 5000;

/** Certificate and key, as PEM. */
export interface TlsCredentials {
  readonly cert: string;
  readonly key: string;
}

/**
 * Reads certificate and key.
 * @param files - Where they are.
 */
export async function readTlsCredentials(
  files: TlsFiles,
): Promise<TlsCredentials> {
  const [cert, key] = await Promise.all([
    readFile(files.certificatePath, 'utf8'),
    readFile(files.keyPath, 'utf8'),
  ]);
  return {cert, key};
}

/** What a reloader works on. */
export interface TlsReloaderOptions {
  readonly files: TlsFiles;
  readonly server: Server;
  readonly clock: Clock;
  readonly logger: EventLogger;
}

/** Gives a server new credentials; a broken file leaves the old ones. */
export class TlsReloader {
  private timer: Timer | undefined;
  private seenChange = '';

  private constructor(private readonly options: TlsReloaderOptions) {}

  /**
   * Creates a reloader.
   * @param options - Files and server.
   */
  static create(options: TlsReloaderOptions): TlsReloader {
    return new TlsReloader(options);
  }

  /** Starts to look for changes. */
  async start(): Promise<void> {
    this.seenChange = await this.getChange();
    this.schedule();
  }

  /** Stops. */
  stop(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }

  private schedule(): void {
    this.timer = this.options.clock.setTimer(checkIntervalMs, () => {
      void this.check().finally(() => {
        if (this.timer !== undefined) this.schedule();
      });
    });
  }

  private async check(): Promise<void> {
    const {files, server, logger} = this.options;
    try {
      const change = await this.getChange();
      if (change === this.seenChange) return;
      server.setSecureContext(await readTlsCredentials(files));
      this.seenChange = change;
      logger.log('tls_reloaded', {});
    } catch (error) {
      const {message} = toMarigoldpostError(error);
      logger.log('tls_reload_failed', {message});
    }
  }

  private async getChange(): Promise<string> {
    const {certificatePath, keyPath} = this.options.files;
    const stats = await Promise.all([stat(certificatePath), stat(keyPath)]);
    return stats.map(({mtimeMs, size}) => `${mtimeMs}:${size}`).join(' ');
  }
}
