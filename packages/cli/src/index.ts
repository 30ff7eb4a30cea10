/** Commands of the `marigoldpost` command line. */
import {Audit} from './commands/audit.js';
import {BenchCapacity} from './commands/bench/bench_capacity.js';
import {BenchCompare} from './commands/bench/bench_compare.js';
import {BenchPath} from './commands/bench/bench_path.js';
import {BenchPlot} from './commands/bench/bench_plot.js';
import {BenchRun} from './commands/bench/bench_run.js';
import {ConfigApply} from './commands/config/config_apply.js';
import {ConfigCheck} from './commands/config/config_check.js';
import {ConfigDiff} from './commands/config/config_diff.js';
import {ConfigGet} from './commands/config/config_get.js';
import {ConfigHistory} from './commands/config/config_history.js';
import {ConfigStatus} from './commands/config/config_status.js';
import {Demo} from './commands/demo.js';
import {Explain} from './commands/explain.js';
import {ProgramEnd} from './commands/program/program_end.js';
import {ProgramHistory} from './commands/program/program_history.js';
import {ProgramShow} from './commands/program/program_show.js';
import {QuarantineLift} from './commands/quarantine/quarantine_lift.js';
import {QuarantineList} from './commands/quarantine/quarantine_list.js';
import {Serve} from './commands/serve.js';
import {SettingsCheck} from './commands/settings/settings_check.js';
import {Status} from './commands/status.js';
import {TargetList} from './commands/target/target_list.js';
import {TeamApprove} from './commands/team/team_approve.js';
import {TeamRevoke} from './commands/team/team_revoke.js';

export type * from './demo/demo_evidence.js';
export * from './demo/demo_verdict.js';
export * from './utils/exit_codes.js';

/** Commands by id; oclif reads this map, `:` separates the words. */
export const commands = {
  audit: Audit,
  'bench:capacity': BenchCapacity,
  'bench:compare': BenchCompare,
  'bench:path': BenchPath,
  'bench:plot': BenchPlot,
  'bench:run': BenchRun,
  'config:apply': ConfigApply,
  'config:check': ConfigCheck,
  'config:diff': ConfigDiff,
  'config:get': ConfigGet,
  'config:history': ConfigHistory,
  'config:status': ConfigStatus,
  demo: Demo,
  explain: Explain,
  'program:end': ProgramEnd,
  'program:history': ProgramHistory,
  'program:show': ProgramShow,
  'quarantine:lift': QuarantineLift,
  'quarantine:list': QuarantineList,
  serve: Serve,
  'settings:check': SettingsCheck,
  status: Status,
  'target:list': TargetList,
  'team:approve': TeamApprove,
  'team:revoke': TeamRevoke,
};
