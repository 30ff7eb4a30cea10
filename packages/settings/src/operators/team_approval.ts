/** Editing of a team's approval in the text of the configuration. */
import {MarigoldpostError} from '@marigoldpost/common';
import {getSectionTitle} from '../ini/ini_document.js';
import {getNearestName} from '../utils/nearest_name.js';

const approvedPattern = /^(\s*approved\s*=\s*)([^;#]*?)(\s*(?:[;#].*)?)$/;

/**
 * Sets the approval of a team and keeps the rest of the text unchanged. Throws
 * `config_invalid` when the configuration does not contain the team.
 * @param text - Operators' configuration as INI text.
 * @param team - Name of the team.
 * @param isApproved - Whether the team may send calls.
 */
export function setTeamApproval(
  text: string,
  team: string,
  isApproved: boolean,
): string {
  const lineBreak = text.includes('\r\n') ? '\r\n' : '\n';
  const lines = text.split(lineBreak);
  const titles = lines.map(getSectionTitle);
  const start = titles.indexOf(`team ${team}`);
  if (start < 0) throw createUnknownTeam(team, titles);
  const next = titles.findIndex(
    (title, index) => index > start && title !== undefined,
  );
  const end = next < 0 ? lines.length : next;
  const value = isApproved ? 'yes' : 'no';
  const isApprovedLine = (line: string) => approvedPattern.test(line);
  const offset = lines.slice(start, end).findIndex(isApprovedLine);
  if (offset < 0) {
    lines.splice(start + 1, 0, `approved = ${value}`);
  } else {
    const line = lines[start + offset] as string;
    lines[start + offset] = line.replace(approvedPattern, `$1${value}$3`);
  }
  return lines.join(lineBreak);
}

function createUnknownTeam(
  team: string,
  titles: readonly (string | undefined)[],
): MarigoldpostError {
  const teams = titles
    .filter((title) => title?.startsWith('team '))
    .map((title) => (title as string).slice('team '.length));
  const nearest = getNearestName(team, teams);
  const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`;
  return MarigoldpostError.create(
    'config_invalid',
    `[team ${team}] is not in the operators' configuration${hint}`,
  );
}
