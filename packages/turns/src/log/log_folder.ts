/** File access of the log; an interface, and its disk implementation. */
import {type FileHandle, mkdir, open, readdir, unlink} from 'node:fs/promises';
import path from 'node:path';

/** An append-only file. */
export interface LogFile {
  /** Appends bytes; they are durable only after `sync`. */
  write(bytes: Buffer): Promise<void>;
  /** Makes all bytes written so far durable. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** Folder that contains the segment files of a log. */
export abstract class LogFolder {
  /** Gets the names of all files, sorted. */
  abstract listFiles(): Promise<string[]>;

  /**
   * Reads a whole file.
   * @param name - File name within the folder.
   */
  abstract readFile(name: string): Promise<Buffer>;

  /**
   * Reads a range of a file; shorter when the file ends within it.
   * @param name - File name within the folder.
   * @param offset - First byte to read.
   * @param length - Number of bytes to read.
   */
  abstract readPart(
    name: string,
    offset: number,
    length: number,
  ): Promise<Buffer>;

  /**
   * Creates an empty file; resolves once its directory entry is durable.
   * @param name - File name within the folder.
   */
  abstract createFile(name: string): Promise<LogFile>;

  /**
   * Makes the contents of a file durable, including what a process that was
   * killed had written.
   * @param name - File name within the folder.
   */
  abstract syncFile(name: string): Promise<void>;

  /**
   * Removes a file. The removal is not synced, so the file may reappear after
   * a power loss.
   * @param name - File name within the folder.
   */
  abstract removeFile(name: string): Promise<void>;
}

/** Log folder on a local disk. */
export class DiskLogFolder extends LogFolder {
  private constructor(private readonly folder: string) {
    super();
  }

  /**
   * Opens a folder; creates it when it is missing.
   * @param folder - Path of the folder.
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

  override async syncFile(name: string): Promise<void> {
    const handle = await open(path.join(this.folder, name), 'a');
    try {
      await handle.datasync();
    } finally {
      await handle.close();
    }
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
