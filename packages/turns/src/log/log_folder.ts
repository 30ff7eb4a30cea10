/** Files of a log as the operating system keeps them. */
import {type FileHandle, mkdir, open, readdir, unlink} from 'node:fs/promises';
import path from 'node:path';

/** A file that is written at its end. */
export interface LogFile {
  /** Appends bytes; they are not durable before `sync`. */
  write(bytes: Buffer): Promise<void>;
  /** Makes everything written so far durable. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** Folder of log files. */
export abstract class LogFolder {
  /** Gets the names of all files, in order. */
  abstract listFiles(): Promise<string[]>;

  /**
   * Reads a whole file.
   * @param name - Its name.
   */
  abstract readFile(name: string): Promise<Buffer>;

  /**
   * Reads a part of a file.
   * @param name - Its name.
   * @param offset - First byte.
   * @param length - Number of bytes.
   */
  abstract readPart(
    name: string,
    offset: number,
    length: number,
  ): Promise<Buffer>;

  /**
   * Creates an empty file whose name is durable.
   * @param name - Its name.
   */
  abstract createFile(name: string): Promise<LogFile>;

  /**
   * Removes a file; its name may come back after a power loss.
   * @param name - Its name.
   */
  abstract removeFile(name: string): Promise<void>;
}

/** Folder on a disk. */
export class DiskLogFolder extends LogFolder {
  private constructor(private readonly folder: string) {
    super();
  }

  /**
   * Opens a folder, creating it when it is missing.
   * @param folder - Its path.
   */
  static async create(folder: string): Promise<DiskLogFolder> {
    await mkdir(folder, {recursive: true});
    return new DiskLogFolder(folder);
  }

  override async listFiles(): Promise<string[]> {
    return (await readdir(this.folder)).toSorted();
  }

  override async readFile(name: string): Promise<Buffer> {
    return this.withFile(name, (handle) => handle.readFile());
  }

  override async readPart(
    name: string,
    offset: number,
    length: number,
  ): Promise<Buffer> {
    return this.withFile(name, async (handle) => {
      const buffer = Buffer.alloc(length);
      const {bytesRead} = await handle.read(buffer, 0, length, offset);
      return buffer.subarray(0, bytesRead);
    });
  }

  override async createFile(name: string): Promise<LogFile> {
    const handle = await open(path.join(this.folder, name), 'a');
    await handle.sync();
    await this.syncFolder();
    return {
      write: async (bytes) => {
        await handle.appendFile(bytes);
      },
      sync: () => handle.datasync(),
      close: () => handle.close(),
    };
  }

  override async removeFile(name: string): Promise<void> {
    await unlink(path.join(this.folder, name));
  }

  private async syncFolder(): Promise<void> {
    const handle = await open(this.folder, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }

  private async withFile<Result>(
    name: string,
    use: (handle: FileHandle) => Promise<Result>,
  ): Promise<Result> {
    const handle = await open(path.join(this.folder, name), 'r');
    try {
      return await use(handle);
    } finally {
      await handle.close();
    }
  }
}
