/** Renders the state of the fleet. */
import type {StatusBody} from '../client/response_schemas.js';
import {renderAge, renderTable} from './text_table.js';

/**
 * Renders state and load of targets as a table.
 * @param targets - Targets in the order of the rows.
 */
export function renderTargets(targets: StatusBody['targets']): string {
  return renderTable(targets, [
    {title: 'TARGET', get: ({target}) => target},
    {title: 'SERVICE', get: ({service}) => service},
    {title: 'DATA CENTRE', get: (target) => target.data_centre},
    {title: 'STATE', get: ({state}) => state},
    {title: 'IN FLIGHT', get: (target) => target.in_flight},
    {title: 'WINDOW', get: (target) => target.window_size},
    {title: 'RUNNING', get: ({running}) => running},
    {title: 'WAITING', get: ({waiting}) => waiting},
    {title: 'BLOCKS', get: (target) => target.used_blocks},
    {title: 'OF', get: (target) => target.total_blocks},
    {title: 'MODELS', get: ({models}) => models},
    {title: 'AGE', get: (target) => renderAge(target.age_ms)},
  ]);
}

/**
 * Renders quarantined requests as a table.
 * @param requests - Requests in the order of the rows.
 */
export function renderQuarantine(requests: StatusBody['quarantined']): string {
  return renderTable(requests, [
    {title: 'FINGERPRINT', get: ({fingerprint}) => fingerprint},
    {title: 'TARGETS', get: ({targets}) => targets},
    {
      title: 'LAST DEATH',
      get: (request) => new Date(request.last_death_at_ms).toISOString(),
    },
  ]);
}

/**
 * Renders the configuration version that is active on each daemon.
 * @param status - Response of the operations API.
 */
export function renderConfigStatus({members}: StatusBody): string {
  return renderTable(members, [
    {title: 'DAEMON', get: ({daemon}) => daemon},
    {title: 'VERSION', get: (member) => member.config_version},
    {title: 'HASH', get: (member) => member.config_hash.slice(0, 12)},
    {title: 'STATE', get: ({state}) => state},
    {title: 'AGE', get: (member) => renderAge(member.age_ms)},
  ]);
}

/**
 * Renders a summary of the daemon and a table for each part of the fleet.
 * @param status - Response of the operations API.
 */
export function renderStatus(status: StatusBody): string {
  const sections: [string, string][] = [
    ['Services', renderServices(status.services)],
    ['Targets', renderTargets(status.targets)],
    ['Daemons', renderMembers(status.members)],
    ['Calling teams', renderTeams(status.teams)],
    ['Quarantined requests', renderQuarantine(status.quarantined)],
    ['Partitions', renderPartitions(status.partitions)],
  ];
  const shown = sections.map(([title, table]) => `\n${title}\n${table}`);
  return [renderSummary(status), ...shown].join('\n');
}

function renderSummary(status: StatusBody): string {
  const {platform} = status;
  const readiness = status.is_ready ? 'ready' : 'not ready';
  const reachability = platform.is_reachable ? 'reachable' : 'unreachable';
  return [
    `daemon ${status.daemon} in ${status.data_centre}: ${readiness}` +
      (status.is_draining ? ', draining' : ''),
    `configuration version ${status.config_version}`,
    `platform ${reachability} as of ${renderAge(platform.age_ms)} ago, ` +
      `${platform.uncommitted_bytes} bytes not yet committed`,
  ].join('\n');
}

function renderServices(services: StatusBody['services']): string {
  return renderTable(services, [
    {title: 'SERVICE', get: ({service}) => service},
    {title: 'KIND', get: ({kind}) => kind},
    {title: 'DEPENDS ON', get: (service) => service.depends_on},
    {title: 'AVAILABLE', get: (service) => service.is_available},
    {title: 'IN FLIGHT', get: (service) => service.in_flight},
    {title: 'WAITING', get: ({waiting}) => waiting},
    {title: 'LIMIT', get: (service) => service.max_in_flight},
  ]);
}

function renderMembers(members: StatusBody['members']): string {
  return renderTable(members, [
    {title: 'DAEMON', get: ({daemon}) => daemon},
    {title: 'DATA CENTRE', get: (member) => member.data_centre},
    {title: 'STATE', get: ({state}) => state},
    {title: 'DRAINING', get: (member) => member.is_draining},
    {title: 'PLATFORM', get: (member) => member.reaches_platform},
    {title: 'CONFIG', get: (member) => member.config_version},
    {title: 'AGE', get: (member) => renderAge(member.age_ms)},
  ]);
}

function renderTeams(teams: StatusBody['teams']): string {
  return renderTable(teams, [
    {title: 'TEAM', get: ({team}) => team},
    {title: 'APPROVED', get: (team) => team.is_approved},
    {title: 'IN FLIGHT', get: (team) => team.in_flight},
    {title: 'LIMIT', get: (team) => team.max_in_flight},
  ]);
}

function renderPartitions(partitions: StatusBody['partitions']): string {
  return renderTable(partitions, [
    {title: 'PARTITION', get: ({partition}) => partition},
    {title: 'HOLDER', get: ({holder}) => holder},
    {title: 'EPOCH', get: ({epoch}) => epoch},
    {title: 'AGE', get: (partition) => renderAge(partition.age_ms)},
  ]);
}
