/** Reads the current registrations of archives from the object API. */
import {type Clock, MarigoldpostError} from '@marigoldpost/common';
import type {StoredObject} from '@marigoldpost/platform';
import {
  type ArchiveMember,
  archivePrefix,
  decodeMember,
} from './archive_directory.js';
import {SharedReading} from './shared_reading.js';

/** Least pause between two readings; bounds the calls to the object API. */
const minIntervalMs = 200;

/** Object API and clock of a reader. */
export interface RegistrationReaderOptions {
  readonly store: RegistrationStore;
  readonly clock: Clock;
}

/** The part of the object API that a reader uses. */
export interface RegistrationStore {
  /** Reads all objects of a prefix, with every change acknowledged before. */
  readonly readSnapshot: (
    prefix: string,
  ) => Promise<{readonly objects: readonly StoredObject[]}>;
}

/**
 * Reads the list of archives when the one from the watch may be behind. Calls
 * that come together share a reading, which starts after each of them.
 */
export class RegistrationReader {
  private readonly reading: SharedReading<readonly ArchiveMember[]>;

  private constructor({store, clock}: RegistrationReaderOptions) {
    this.reading = SharedReading.create({
      clock,
      getIntervalMs: () => minIntervalMs,
      read: async () => {
        const {objects} = await store.readSnapshot(archivePrefix);
        return objects.map(decodeMemberOrThrow);
      },
    });
  }

  /**
   * Creates a reader.
   * @param options - Object API and clock.
   */
  static create(options: RegistrationReaderOptions): RegistrationReader {
    return new RegistrationReader(options);
  }

  /**
   * Gets the archives that are registered now. Throws `archive_unavailable` if a
   * registration is malformed, since its archive is then not known, and
   * `store_unavailable` if the object API does not reply.
   */
  readMembers(): Promise<readonly ArchiveMember[]> {
    return this.reading.read();
  }
}

function decodeMemberOrThrow(object: StoredObject): ArchiveMember {
  const member = decodeMember(object);
  if (member !== undefined) return member;
  throw MarigoldpostError.create(
    'archive_unavailable',
    'a registration of an archive is malformed, so the archive is not known',
  );
}
