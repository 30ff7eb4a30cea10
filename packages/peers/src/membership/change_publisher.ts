/** Tells listeners of each daemon that has changed. */
import type {DaemonId} from '@marigoldpost/common';
import type {FleetMember, MemberState} from '@marigoldpost/platform';
import type {MemberRecord} from './member_record.js';
import type {MembershipListener} from './membership_listener.js';

/** What the listeners know of one daemon. */
interface Published {
  readonly changes: number;
  readonly state: MemberState;
}

/** Compares records with what the listeners know. */
export class ChangePublisher {
  private readonly published = new Map<DaemonId, Published>();

  private constructor(
    private readonly listeners: ReadonlySet<MembershipListener>,
  ) {}

  /**
   * Creates a publisher.
   * @param listeners - Who is told.
   */
  static create(listeners: ReadonlySet<MembershipListener>): ChangePublisher {
    return new ChangePublisher(listeners);
  }

  /**
   * Tells of the records that differ from what was told last.
   * @param records - Every record.
   * @param toMember - Gets a daemon as listeners see it.
   */
  publish(
    records: readonly MemberRecord[],
    toMember: (record: MemberRecord) => FleetMember,
  ): void {
    for (const record of records) {
      const member = toMember(record);
      const known = this.published.get(record.daemon);
      const {changes} = record;
      if (known?.changes === changes && known.state === member.state) continue;
      this.published.set(record.daemon, {changes, state: member.state});
      for (const listener of this.listeners) listener.onMemberChanged?.(member);
    }
  }
}
