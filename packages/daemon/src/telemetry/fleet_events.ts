/** Logs changes of members, of partitions and of the configuration. */
import type {DaemonId} from '@marigoldpost/common';
import type {ConfigFollower} from '@marigoldpost/operations';
import type {Membership} from '@marigoldpost/peers';
import type {PartitionManager} from '@marigoldpost/programs';
import type {EventLogger} from '@marigoldpost/telemetry';

/** The logger, and the parts whose events are logged. */
export interface FleetEventsOptions {
  readonly logger: EventLogger;
  readonly membership: Membership;
  readonly manager: PartitionManager;
  readonly follower: ConfigFollower;
}

/**
 * Adds listeners that log the fleet's events.
 * @param options - The logger, and the parts whose events are logged.
 */
export function logFleetEvents(options: FleetEventsOptions): void {
  logMembers(options);
  logPartitions(options);
  const {follower, logger} = options;
  follower.addListener({
    onConfigRejected: ({kind}) => logger.log('config_rejected', {kind}),
  });
}

function logMembers({membership, logger}: FleetEventsOptions): void {
  const states = new Map<DaemonId, string>();
  membership.addListener({
    onMemberChanged: ({daemon, state: to}) => {
      const from = states.get(daemon) ?? 'unknown';
      states.set(daemon, to);
      if (from === to) return;
      logger.log('member_changed', {member: daemon, from, to});
    },
  });
}

function logPartitions({manager, logger}: FleetEventsOptions): void {
  manager.addListener({
    onOpened: (programManager) => {
      const {partition, epoch, openPrograms} = programManager.getStatus();
      const fields = {partition, epoch, programs: openPrograms};
      logger.log('partition_taken', fields);
    },
    onClosed: (partition, epoch, reason) => {
      if (reason === 'handed_over') {
        logger.log('partition_released', {partition, epoch});
      } else {
        logger.log('partition_lost', {partition, epoch, reason});
      }
    },
  });
}
