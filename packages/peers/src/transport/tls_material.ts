/** Certificates and key of the streams between daemons. */
import {readFile, stat} from 'node:fs/promises';
import type {Clock, Timer} from '@marigoldpost/common';

const checkIntervalMs = 5000;

/** Files in PEM format. */
export interface PeerTlsFiles {
  readonly certificatePath: string;
  readonly keyPath: string;
  /** Authority that signs the peers' certificates. */
  readonly authorityPath: string;
}

/** What a TLS socket needs. */
export interface TlsMaterial {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca: Buffer;
}

/** Reads TLS files and reads them again when one has changed. */
export class TlsMaterialSource {
  private timer: Timer | undefined;
  private stamp = '';

  private constructor(
    private readonly files: PeerTlsFiles,
    private readonly clock: Clock,
    private current: TlsMaterial,
  ) {}

  /**
   * Reads the files.
   * @param files - Their paths.
   * @param clock - Clock of the checks for changes.
   */
  static async create(
    files: PeerTlsFiles,
    clock: Clock,
  ): Promise<TlsMaterialSource> {
    const source = new TlsMaterialSource(files, clock, await readAll(files));
    source.stamp = await readStamp(files);
    return source;
  }

  /** Gets what was read last. */
  getCurrent(): TlsMaterial {
    return this.current;
  }

  /**
   * Starts to check for changes.
   * @param onChanged - Called with what has been read.
   */
  start(onChanged: (material: TlsMaterial) => void): void {
    this.timer = this.clock.setTimer(checkIntervalMs, () => {
      void this.reload(onChanged).finally(() => {
        if (this.timer !== undefined) this.start(onChanged);
      });
    });
  }

  /** Ends the checks. */
  stop(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }

  private async reload(
    onChanged: (material: TlsMaterial) => void,
  ): Promise<void> {
    try {
      const stamp = await readStamp(this.files);
      if (stamp === this.stamp) return;
      this.current = await readAll(this.files);
      this.stamp = stamp;
      onChanged(this.current);
    } catch {
      // Half-replaced files keep the former ones in use until the next check.
    }
  }
}

async function readAll(files: PeerTlsFiles): Promise<TlsMaterial> {
  const [cert, key, ca] = await Promise.all([
    readFile(files.certificatePath),
    readFile(files.keyPath),
    readFile(files.authorityPath),
  ]);
  return {cert, key, ca};
}

async function readStamp(files: PeerTlsFiles): Promise<string> {
  const paths = [files.certificatePath, files.keyPath, files.authorityPath];
  const stats = await Promise.all(paths.map((path) => stat(path)));
  return stats.map(({mtimeMs, size}) => `${mtimeMs}:${size}`).join(' ');
}
