/** TLS credentials of the streams between daemons. */
import {readFile, stat} from 'node:fs/promises';
import type {Clock, Timer} from '@marigoldpost/common';

const fileCheckIntervalMs = 5000;

/** Paths of the TLS files, in PEM format. */
export interface PeerTlsFiles {
  readonly certificatePath: string;
  readonly keyPath: string;
  /** Certificate of the authority that signs the peers' certificates. */
  readonly authorityPath: string;
}

/** Contents of the TLS files, as options of a Node.js TLS socket. */
export interface TlsMaterial {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca: Buffer;
}

/** Reads TLS files and reloads all of them when one has changed. */
export class TlsMaterialSource {
  private timer: Timer | undefined;
  private fileStamp = '';

  private constructor(
    private readonly files: PeerTlsFiles,
    private readonly clock: Clock,
    private current: TlsMaterial,
  ) {}

  /**
   * Reads the files once; throws if one cannot be read.
   * @param files - Paths of the files.
   * @param clock - Clock that schedules the checks for changes.
   */
  static async create(
    files: PeerTlsFiles,
    clock: Clock,
  ): Promise<TlsMaterialSource> {
    const source = new TlsMaterialSource(
      files,
      clock,
      await readMaterial(files),
    );
    source.fileStamp = await readFileStamp(files);
    return source;
  }

  /** Gets the credentials that were read last. */
  getCurrent(): TlsMaterial {
    return this.current;
  }

  /**
   * Starts checking the files for changes at a fixed interval.
   * @param onChanged - Called with the reloaded credentials.
   */
  start(onChanged: (material: TlsMaterial) => void): void {
    this.timer = this.clock.setTimer(fileCheckIntervalMs, () => {
      void this.reload(onChanged).finally(() => {
        if (this.timer !== undefined) this.start(onChanged);
      });
    });
  }

  /** Stops checking the files. */
  stop(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }

  private async reload(
    onChanged: (material: TlsMaterial) => void,
  ): Promise<void> {
    try {
      const stamp = await readFileStamp(this.files);
      if (stamp === this.fileStamp) return;
      this.current = await readMaterial(this.files);
      this.fileStamp = stamp;
      onChanged(this.current);
    } catch {
      // A partial replacement of the files fails to load. The previous
      // credentials stay in use until the next check.
    }
  }
}

async function readMaterial(files: PeerTlsFiles): Promise<TlsMaterial> {
  const [cert, key, ca] = await Promise.all([
    readFile(files.certificatePath),
    readFile(files.keyPath),
    readFile(files.authorityPath),
  ]);
  return {cert, key, ca};
}

async function readFileStamp(files: PeerTlsFiles): Promise<string> {
  const paths = [files.certificatePath, files.keyPath, files.authorityPath];
  const stats = await Promise.all(paths.map((path) => stat(path)));
  return stats.map(({mtimeMs, size}) => `${mtimeMs}:${size}`).join(' ');
}
