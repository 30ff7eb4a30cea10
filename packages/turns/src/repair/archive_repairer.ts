/** Keeps turns on as many disks as are due, and the ledger complete. */
import {
  type Clock,
  type DaemonId,
  type DataCentreId,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {Archive} from '../archive/archive.js';
import type {IndexedTurn} from '../archive/turn_index.js';
import type {ArchiveClient} from '../client/archive_client.js';
import type {ArchivePool} from '../client/archive_pool.js';
import {orderHolders} from '../client/copy_plan.js';
import type {DiskId} from '../log/disk_identity.js';

/** Pause between two rounds. */
const roundMs = 250;
/** Turns younger than this are still being stored by their entry VM. */
const settlingMs = 300;
/** Turns asked for or sent in one message; bounds its size. */
const batchTurns = 64;

/** Options of a repairer. */
export interface ArchiveRepairerOptions {
  readonly archive: Archive;
  readonly pool: ArchivePool;
  readonly clock: Clock;
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  /** Disks that hold each turn, the own one included. */
  readonly copies: number;
  /** Whether the disk was empty when the daemon started. */
  readonly isDiskNew: boolean;
  readonly onFailed: (task: string, error: Error) => void;
}

/** Repairer of one archive. */
export class ArchiveRepairer {
  /** Disks, beside the own one, on which a turn was last seen. */
  private readonly verified = new Map<TurnId, Set<DiskId>>();
  /** Archives whose ledger has been read since they last fell silent. */
  private readonly ledgersRead = new Set<ArchiveClient>();

  /** Whether every peer in reach has told its ledger since this start. */
  private hasLedgers: boolean;
  /** Copies due on disks beside the own one. */
  private copiesElsewhere: number;

  private constructor(private readonly options: ArchiveRepairerOptions) {
    this.copiesElsewhere = options.copies - 1;
    this.hasLedgers = !options.isDiskNew;
  }

  /**
   * Creates a repairer.
   * @param options - The archive and its peers.
   */
  static create(options: ArchiveRepairerOptions): ArchiveRepairer {
    return new ArchiveRepairer(options);
  }

  /** Whether the ledger holds what peers recorded before this start. */
  get isComplete(): boolean {
    return this.hasLedgers || this.options.pool.getClients().length === 0;
  }

  /** Whether every turn stands on as many disks as are due. */
  get isRepaired(): boolean {
    return this.findIncomplete(Number.POSITIVE_INFINITY).length === 0;
  }

  /** Counts the own disk no more, since it is taken away. */
  retire(): void {
    this.copiesElsewhere = this.options.copies;
  }

  /**
   * Works until stopped.
   * @param signal - Ends the work.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.runTask('ledgers', () => this.readLedgers());
      await this.runTask('copies', () => this.repairTurns());
      await this.options.clock.sleep(roundMs, signal);
    }
  }

  private async runTask(
    task: string,
    work: () => Promise<void>,
  ): Promise<void> {
    try {
      await work();
    } catch (error) {
      this.options.onFailed(task, toMarigoldpostError(error));
    }
  }

  private async readLedgers(): Promise<void> {
    const clients = this.options.pool.getClients();
    for (const client of this.ledgersRead) {
      if (!client.isReachable || !clients.includes(client)) {
        this.ledgersRead.delete(client);
      }
    }
    for (const client of clients) {
      if (!client.isReachable || this.ledgersRead.has(client)) continue;
      await this.options.archive.mergeLedgers(await client.fetchLedgers());
      this.ledgersRead.add(client);
    }
    // Peers that are gone for good stay listed, so those in reach must do.
    const inReach = clients.filter(({isReachable}) => isReachable);
    this.hasLedgers ||=
      inReach.length > 0 &&
      inReach.every((client) => this.ledgersRead.has(client));
  }

  private async repairTurns(): Promise<void> {
    this.forgetLostCopies();
    const {clock} = this.options;
    const due = this.findIncomplete(clock.nowMs() - settlingMs);
    const plan = new Map<ArchiveClient, IndexedTurn[]>();
    for (const turn of due) {
      for (const client of this.chooseHolders(turn)) {
        const known = plan.get(client);
        if (known === undefined) plan.set(client, [turn]);
        else known.push(turn);
      }
    }
    for (const [client, turns] of plan) {
      for (let start = 0; start < turns.length; start += batchTurns) {
        await this.copyTurns(client, turns.slice(start, start + batchTurns));
      }
    }
  }

  private findIncomplete(storedBeforeMs: number): IndexedTurn[] {
    const {archive} = this.options;
    return [...archive.getTurns()].filter(
      (turn) =>
        turn.storedAtMs <= storedBeforeMs &&
        (this.verified.get(turn.id)?.size ?? 0) < this.copiesElsewhere,
    );
  }

  /** Forgets copies on disks that are lost, and turns that have expired. */
  private forgetLostCopies(): void {
    const {archive, pool} = this.options;
    const disks = new Set(pool.getClients().map(({member}) => member.disk));
    for (const [turn, held] of this.verified) {
      if (!archive.hasTurn(turn)) this.verified.delete(turn);
      for (const disk of held) if (!disks.has(disk)) held.delete(disk);
    }
  }

  private chooseHolders(turn: IndexedTurn): ArchiveClient[] {
    const {pool, dataCentre} = this.options;
    const held = this.verified.get(turn.id) ?? new Set<DiskId>();
    const clients = pool
      .getClients()
      .filter(({isReachable, member}) => isReachable && !held.has(member.disk));
    const {program, disks} = turn;
    const holders = orderHolders(clients, {
      program,
      ownDataCentre: dataCentre,
      chainDisks: disks,
    });
    // A second copy in the own data centre would be lost with the first.
    const ordered = [
      ...holders.filter((holder) => holder.dataCentre !== dataCentre),
      ...holders.filter((holder) => holder.dataCentre === dataCentre),
    ];
    return ordered.slice(0, this.copiesElsewhere - held.size);
  }

  private async copyTurns(
    client: ArchiveClient,
    turns: readonly IndexedTurn[],
  ): Promise<void> {
    const {archive} = this.options;
    const found = await client.findTurns(turns.map(({id}) => id));
    // The peer's disk was replaced and its new entry has not been read yet.
    if (found.disk !== client.member.disk) return;
    const missing = turns.filter((_turn, index) => !found.isHeld[index]);
    if (missing.length > 0) {
      const records = await Promise.all(
        missing.map((turn) => archive.readTurn(turn)),
      );
      await client.storeTurns(records);
    }
    for (const {id} of turns) {
      const held = this.verified.get(id);
      if (held === undefined) this.verified.set(id, new Set([found.disk]));
      else held.add(found.disk);
    }
  }
}
