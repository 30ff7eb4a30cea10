/**
 * Chooses the archive through which an entry VM follows the objects of its site.
 *
 * Load pattern: all entry VMs of a data centre follow the same few objects, and
 * readers die, freeze or lose the object API. The entry VMs spread over the
 * readers of their data centre, and leave one that fails for a while. One that
 * finds none reads for itself.
 */
import {
  type Clock,
  type DaemonId,
  type DataCentreId,
  getHashNumber,
} from '@marigoldpost/common';
import type {PeerAddress} from '@marigoldpost/peers';

/** Time for which a reader that did not reply is not asked. */
const passOverMs = 2000;

/** Archive with its data centre. */
export interface ChangeReader extends PeerAddress {
  readonly dataCentre: DataCentreId;
}

/** Own daemon, archives and clock of a choice. */
export interface ChangeReadersOptions {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly getArchives: () => readonly ChangeReader[];
}

/** Archives of the own data centre, and which of them failed lately. */
export class ChangeReaders {
  private readonly passedOverUntilMs = new Map<DaemonId, number>();

  private constructor(private readonly options: ChangeReadersOptions) {}

  /**
   * Creates a choice without experience.
   * @param options - Own daemon, archives and clock.
   */
  static create(options: ChangeReadersOptions): ChangeReaders {
    return new ChangeReaders(options);
  }

  /**
   * Gets the readers to ask, in order. The order differs between entry VMs, and
   * changes for few of them when the list of archives does.
   */
  getOrdered(): ChangeReader[] {
    const {daemon, dataCentre, clock, getArchives} = this.options;
    const nowMs = clock.nowMs();
    const weigh = (reader: ChangeReader) =>
      getHashNumber(`${daemon} ${reader.daemon}`);
    return getArchives()
      .filter((archive) => archive.dataCentre === dataCentre)
      .filter(
        (archive) => (this.passedOverUntilMs.get(archive.daemon) ?? 0) <= nowMs,
      )
      .toSorted((left, right) => weigh(left) - weigh(right));
  }

  /**
   * Passes a reader over for a while.
   * @param daemon - Reader that did not reply.
   */
  recordFailure(daemon: DaemonId): void {
    const untilMs = this.options.clock.nowMs() + passOverMs;
    this.passedOverUntilMs.set(daemon, untilMs);
  }
}
