/** Tells which entry VMs respond, and which data centres are reached. */
import {
  type Clock,
  type DaemonId,
  type DataCentreId,
  MarigoldpostError,
} from '@marigoldpost/common';
import type {AbsentHolder, SiteReach} from '@marigoldpost/limits';
import type {EventLogger} from '@marigoldpost/telemetry';
import type {ArchivePool} from '@marigoldpost/turns';
import type {EntryMember} from './entry_directory.js';

/** Time for which an entry VM that did not respond is passed over. */
const passOverMs = 1000;
/**
 * Time since the last message for which a data centre counts as reached;
 * archives tell of the others.
 */
const recentContactMs = 1000;

/** Data centres whose archives tell whether they are reached. */
export interface ArchiveReach {
  readonly all: ReadonlySet<DataCentreId>;
  readonly reached: ReadonlySet<DataCentreId>;
}

/**
 * Gets the data centres whose archives are reached.
 * @param pool - Archives of the site.
 */
export function getArchiveReach(pool: ArchivePool): ArchiveReach {
  const all = new Set<DataCentreId>();
  const reached = new Set<DataCentreId>();
  for (const {dataCentre, isReachable} of pool.getClients()) {
    all.add(dataCentre);
    if (isReachable) reached.add(dataCentre);
  }
  return {all, reached};
}

/** Own data centre, and sources of reachability. */
export interface QuotaContactsOptions {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly getMembers: () => readonly EntryMember[];
  readonly getArchiveReach: () => ArchiveReach;
}

interface Absence {
  readonly firstMs: number;
  readonly lastMs: number;
  readonly hasEnded: boolean;
}

/** Replies and failures of the entry VMs that count quotas. */
export class QuotaContacts {
  private readonly absences = new Map<DaemonId, Absence>();
  private readonly heardAtMs = new Map<DataCentreId, number>();

  private constructor(private readonly options: QuotaContactsOptions) {}

  /**
   * Creates a record without contacts.
   * @param options - Own data centre, and sources of reachability.
   */
  static create(options: QuotaContactsOptions): QuotaContacts {
    return new QuotaContacts(options);
  }

  /**
   * Records that an entry VM has replied.
   * @param member - Entry VM that was asked.
   */
  recordReply({daemon, dataCentre}: EntryMember): void {
    this.recordMessage(dataCentre);
    if (!this.absences.delete(daemon)) return;
    this.log(daemon, true, '');
  }

  /**
   * Records a message from a data centre.
   * @param dataCentre - Data centre of the sender.
   */
  recordMessage(dataCentre: DataCentreId): void {
    this.heardAtMs.set(dataCentre, this.options.clock.nowMs());
  }

  /**
   * Records that an entry VM does not count quotas now.
   * @param member - Entry VM that was asked, or that is out of reach.
   * @param reason - What happened, for the log.
   * @param hasEnded - Whether it surely grants nothing: its process has ended, or
   *   it has said so.
   */
  recordAbsence(
    {daemon}: EntryMember,
    reason: string,
    hasEnded: boolean,
  ): void {
    const lastMs = this.options.clock.nowMs();
    const known = this.absences.get(daemon);
    const firstMs = known?.firstMs ?? lastMs;
    this.absences.set(daemon, {firstMs, lastMs, hasEnded});
    if (known === undefined) this.log(daemon, false, reason);
  }

  /**
   * Whether an entry VM is left out for now.
   * @param member - Entry VM that may count quotas.
   */
  isPassedOver({daemon}: EntryMember): boolean {
    const absence = this.absences.get(daemon);
    if (absence === undefined) return false;
    return this.options.clock.nowMs() - absence.lastMs < passOverMs;
  }

  /**
   * Whether a data centre seems to be reached.
   * @param dataCentre - Data centre of an entry VM.
   */
  isReached(dataCentre: DataCentreId): boolean {
    const {all, reached} = this.options.getArchiveReach();
    if (reached.has(dataCentre) || this.isHeard(dataCentre)) return true;
    // Without archives, only an attempt can tell.
    return !all.has(dataCentre);
  }

  /**
   * Gets what is known of an entry VM that does not count quotas.
   * @param member - Entry VM that was passed over or has just been asked.
   */
  getAbsence({daemon}: EntryMember): AbsentHolder {
    const absence = this.absences.get(daemon);
    if (absence === undefined) return {hasEnded: false, silentMs: 0};
    const {firstMs, hasEnded} = absence;
    return {hasEnded, silentMs: this.options.clock.nowMs() - firstMs};
  }

  /** Counts the data centres of the site, and those that are reached. */
  getSiteReach(): SiteReach {
    const {daemon, dataCentre: own, getMembers} = this.options;
    const archives = this.options.getArchiveReach();
    const all = new Set([own, ...archives.all]);
    let isAlone = !archives.all.has(own);
    for (const member of getMembers()) {
      all.add(member.dataCentre);
      const isPeer = member.dataCentre === own && member.daemon !== daemon;
      if (isPeer) isAlone = false;
    }
    let reached = 0;
    for (const dataCentre of all) {
      const isOwnAndAlone = dataCentre === own && isAlone;
      const isReached =
        isOwnAndAlone ||
        archives.reached.has(dataCentre) ||
        this.isHeard(dataCentre);
      if (isReached) reached += 1;
    }
    return {reached, total: all.size};
  }

  private isHeard(dataCentre: DataCentreId): boolean {
    const heardAtMs = this.heardAtMs.get(dataCentre);
    if (heardAtMs === undefined) return false;
    return this.options.clock.nowMs() - heardAtMs < recentContactMs;
  }

  private log(peer: DaemonId, isReachable: boolean, reason: string): void {
    const fields = {peer, isReachable, reason};
    this.options.logger.log('quota_holder_reachability', fields);
  }
}

/**
 * Whether an error shows that no process listens at an entry VM.
 * @param error - Error of a request to it.
 */
export function isProcessEnded(error: unknown): boolean {
  if (!(error instanceof MarigoldpostError)) return false;
  const cause = error.cause() as NodeJS.ErrnoException | undefined;
  return cause?.code === 'ECONNREFUSED';
}
