/** What operators' HTTP needs from the rest of the daemon. */
import type {Fingerprint, ProgramId} from '@marigoldpost/common';
import type {ProgramHistory, ProgramView} from '@marigoldpost/programs';
import type {OperatorsConfig} from '@marigoldpost/settings';
import type {FleetStatus} from './fleet_status.js';

/** The fleet and its programs, as operators see and steer them. */
export abstract class StatusSource {
  /** Gets the text in force; nothing until one is known. */
  abstract getConfig(): OperatorsConfig | undefined;

  /** Gets the fleet as seen from this daemon. */
  abstract getStatus(): FleetStatus;

  /**
   * Gets any team's program; throws `unknown_program`.
   * @param program - The program.
   */
  abstract getProgram(program: ProgramId): Promise<ProgramView>;

  /**
   * Gets any program's history; throws `unknown_program`.
   * @param program - The program.
   */
  abstract getHistory(program: ProgramId): Promise<ProgramHistory>;

  /**
   * Ends any program; idempotent.
   * @param program - The program.
   */
  abstract endProgram(program: ProgramId): Promise<ProgramView>;

  /**
   * Lifts a quarantine over the fleet; an unknown one is left alone.
   * @param fingerprint - The request.
   */
  abstract liftQuarantine(fingerprint: Fingerprint): Promise<void>;
}
