/** Checks across sections of the operators' configuration. */
import {type ServiceId, toId} from '@marigoldpost/common';
import type {IniSection} from '../ini/ini_document.js';
import type {TextProblems} from '../ini/text_problem.js';
import {getNearestName} from '../utils/nearest_name.js';
import {
  type Dependencies,
  getAllDependencies,
  getCycle,
} from './dependency_graph.js';
import {getKeyLine, type OperatorsSections} from './operators_sections.js';

/** Fewest heartbeats per lease, so that a late heartbeat is tolerated. */
const minHeartbeatsPerLease = 3;
/** Tolerated rounding error of the sum of shares. */
const shareTolerance = 1e-6;

/** Checks of references, cycles, shares, duplicates and approvals. */
export class OperatorsChecks {
  private readonly dependencies: Dependencies;

  private constructor(
    private readonly sections: OperatorsSections,
    private readonly problems: TextProblems,
  ) {
    this.dependencies = new Map(
      sections.services.map(({name, values}) => [
        toId<ServiceId>(name),
        (values.depends_on ?? []).map((id) => toId<ServiceId>(id)),
      ]),
    );
  }

  /**
   * Runs all checks.
   * @param sections - Parsed sections of the configuration.
   * @param problems - Receives the problems found.
   */
  static run(sections: OperatorsSections, problems: TextProblems): void {
    const checks = new OperatorsChecks(sections, problems);
    checks.checkFleet();
    checks.checkServices();
    checks.checkTargets();
    checks.checkTeams();
    checks.checkKeys();
  }

  private checkFleet(): void {
    const {fleet, document} = this.sections;
    for (const kind of ['data_centre', 'operator']) {
      if (document.getSections(kind).length > 0) continue;
      const message = `expected at least one [${kind} <name>]`;
      this.problems.add({line: 1, section: kind, message});
    }
    if (fleet === undefined) return;
    if (fleet.lease_ms >= fleet.heartbeat_ms * minHeartbeatsPerLease) return;
    const section = document.getSections('fleet')[0];
    const line = section === undefined ? 1 : getKeyLine(section, 'lease_ms');
    const message = `expected at least ${minHeartbeatsPerLease} times heartbeat_ms`;
    this.problems.add({line, section: 'fleet', key: 'lease_ms', message});
  }

  private checkServices(): void {
    for (const {section, name, values} of this.sections.services) {
      this.checkNames(section, 'depends_on', 'service', values.depends_on);
      this.checkCycle(section, toId<ServiceId>(name));
      this.checkShares(section, values.limit_shares);
      const isTarget = this.sections.document
        .getSections('target')
        .some((target) => hasEntry(target, 'service', name));
      if (isTarget || values.discover_prefix !== undefined) continue;
      const message =
        'expected discover_prefix or at least one [target <name>]';
      this.problems.add({line: section.line, section: section.title, message});
    }
  }

  private checkCycle(section: IniSection, service: ServiceId): void {
    const cycle = getCycle(service, this.dependencies);
    if (cycle === undefined) return;
    const shown = [...cycle, service].join(' -> ');
    this.addProblem(section, 'depends_on', `dependency cycle ${shown}`);
  }

  private checkShares(
    section: IniSection,
    shares: ReadonlyMap<string, number> | undefined,
  ): void {
    if (shares === undefined) return;
    this.checkNames(section, 'limit_shares', 'data_centre', shares.keys());
    const sum = [...shares.values()].reduce((left, right) => left + right, 0);
    if (Math.abs(sum - 1) <= shareTolerance) return;
    const shown = Number(sum.toFixed(6));
    const message = `expected shares that add up to 1, found ${shown}`;
    this.addProblem(section, 'limit_shares', message);
  }

  private checkTargets(): void {
    const sectionOfAddress = new Map<string, string>();
    for (const {section, values} of this.sections.targets) {
      this.checkNames(section, 'service', 'service', [values.service]);
      this.checkNames(section, 'data_centre', 'data_centre', [
        values.data_centre,
      ]);
      const known = sectionOfAddress.get(values.address);
      if (known !== undefined) {
        this.addProblem(
          section,
          'address',
          `address is already that of [${known}]`,
        );
      }
      sectionOfAddress.set(values.address, section.title);
    }
  }

  private checkTeams(): void {
    for (const {section, values} of this.sections.teams) {
      this.checkNames(section, 'services', 'service', values.services);
      if (!values.approved) continue;
      if (values.key_hashes === undefined) {
        this.addProblem(section, 'key_hashes', 'an approved team needs a key');
      }
      if (values.includes_dependencies) continue;
      this.checkApprovedDependencies(section, values.services);
    }
  }

  private checkApprovedDependencies(
    section: IniSection,
    services: readonly string[],
  ): void {
    for (const service of services) {
      const needed = getAllDependencies(
        toId<ServiceId>(service),
        this.dependencies,
      );
      const missing = [...needed].filter((id) => !services.includes(id));
      if (missing.length === 0) continue;
      const message =
        `"${service}" depends on ${missing.join(', ')}; expected these here, ` +
        'or includes_dependencies = yes';
      this.addProblem(section, 'services', message);
    }
  }

  private checkKeys(): void {
    const {teams, operators} = this.sections;
    const sectionOfHash = new Map<string, string>();
    for (const {section, values} of [...teams, ...operators]) {
      for (const hash of values.key_hashes ?? []) {
        const known = sectionOfHash.get(hash);
        if (known !== undefined) {
          this.addProblem(
            section,
            'key_hashes',
            `a key is also that of [${known}]`,
          );
        }
        sectionOfHash.set(hash, section.title);
      }
    }
  }

  private checkNames(
    section: IniSection,
    key: string,
    kind: string,
    names: Iterable<string> = [],
  ): void {
    const valid = this.sections.document
      .getSections(kind)
      .map((candidate) => candidate.name);
    for (const name of names) {
      if (valid.includes(name)) continue;
      const nearest = getNearestName(name, valid);
      const message = `[${kind} ${name}] is not in the configuration`;
      this.addProblem(section, key, message, nearest);
    }
  }

  private addProblem(
    section: IniSection,
    key: string,
    message: string,
    nearest?: string,
  ): void {
    const line = getKeyLine(section, key);
    this.problems.add({line, section: section.title, key, message, nearest});
  }
}

function hasEntry(section: IniSection, key: string, value: string): boolean {
  return section.entries.some(
    (entry) => entry.key === key && entry.value === value,
  );
}
