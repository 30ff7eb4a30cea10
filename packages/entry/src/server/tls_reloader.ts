/** Reloads the TLS certificate and key when their files change. */
import {readFile, stat} from 'node:fs/promises';
import type {Server} from 'node:https';
import {
  type Clock,
  type Timer,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {TlsFiles} from '@marigoldpost/settings';
import type {EventLogger} from '@marigoldpost/telemetry';

/** Interval between checks of the files, in milliseconds. */
const checkIntervalMs = 5000;

/** Certificate and private key in PEM format. */
export interface TlsCredentials {
  readonly cert: string;
  readonly key: string;
}

/**
 * Reads certificate and key; rejects if a file cannot be read.
 * @param files - Paths of the files.
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

/** Files to watch, and the server that uses them. */
export interface TlsReloaderOptions {
  readonly files: TlsFiles;
  readonly server: Server;
  readonly clock: Clock;
  readonly logger: EventLogger;
}

/** Updates a server's credentials; keeps the old ones if a file is invalid. */
export class TlsReloader {
  private timer: Timer | undefined;
  private loadedVersion = '';

  private constructor(private readonly options: TlsReloaderOptions) {}

  /**
   * Creates a reloader that has not started.
   * @param options - Files to watch, and the server.
   */
  static create(options: TlsReloaderOptions): TlsReloader {
    return new TlsReloader(options);
  }

  /** Starts to check the files for changes; rejects if one is missing. */
  async start(): Promise<void> {
    this.loadedVersion = await this.getFileVersion();
    this.schedule();
  }

  /** Stops checking the files. */
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
      const change = await this.getFileVersion();
      if (change === this.loadedVersion) return;
      server.setSecureContext(await readTlsCredentials(files));
      this.loadedVersion = change;
      logger.log('tls_reloaded', {});
    } catch (error) {
      const {message} = toMarigoldpostError(error);
      logger.log('tls_reload_failed', {message});
    }
  }

  private async getFileVersion(): Promise<string> {
    const {certificatePath, keyPath} = this.options.files;
    const stats = await Promise.all([stat(certificatePath), stat(keyPath)]);
    return stats.map(({mtimeMs, size}) => `${mtimeMs}:${size}`).join(' ');
  }
}
