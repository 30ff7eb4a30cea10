/** Read-only status page: one HTML document without a framework. */

const style = `
  :root { color-scheme: light dark; --line: #8884; --weak: #888; --good: #2a8a4a;
    --bad: #c33; font: 15px/1.45 system-ui, sans-serif; }
  body { margin: 0 auto; max-width: 75rem; padding: 1.25rem; }
  header { display: flex; flex-wrap: wrap; gap: .5rem 1.5rem; align-items: baseline; }
  h1 { font-size: 1.3rem; margin: 0; }
  h2 { font-size: 1rem; margin: 1.6rem 0 .4rem; }
  form { display: flex; gap: .5rem; margin-left: auto; }
  input, button { font: inherit; padding: .25rem .6rem; }
  .facts { display: grid; grid-template-columns: repeat(auto-fill, minmax(11rem, 1fr));
    gap: .6rem; margin-top: 1rem; }
  .fact { border: 1px solid var(--line); border-radius: .4rem; padding: .5rem .7rem; }
  .fact span { display: block; color: var(--weak); font-size: .8rem; }
  .table { overflow-x: auto; }
  table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
  th, td { text-align: left; padding: .3rem .8rem .3rem 0; border-bottom: 1px solid var(--line);
    white-space: nowrap; }
  th { color: var(--weak); font-weight: 500; font-size: .85rem; }
  .good { color: var(--good); } .bad { color: var(--bad); font-weight: 600; }
  #message { color: var(--bad); min-height: 1.4em; }
`;

const script = `
  const byId = (id) => document.getElementById(id);
  const refreshMs = 2000;
  const columns = {
    members: ['daemon', 'data_centre', 'state', 'is_draining', 'reaches_platform',
      'config_version', 'age_ms'],
    services: ['service', 'kind', 'depends_on', 'is_available', 'in_flight', 'waiting',
      'max_in_flight'],
    targets: ['target', 'service', 'data_centre', 'state', 'window_size', 'in_flight',
      'running', 'waiting', 'used_blocks', 'total_blocks', 'models', 'age_ms'],
    teams: ['team', 'is_approved', 'in_flight', 'max_in_flight'],
    partitions: ['partition', 'holder', 'epoch', 'age_ms'],
    quarantined: ['fingerprint', 'targets', 'last_death_at_ms'],
  };
  const bad = new Set(['dead', 'suspect', 'unhealthy', 'leaving']);
  const goodWhenTrue = new Set(['reaches_platform', 'is_available', 'is_approved']);

  function show(name, value) {
    if (value === undefined || value === null) return '';
    if (Array.isArray(value)) return value.join(', ');
    if (name === 'last_death_at_ms') return new Date(value).toISOString();
    if (name === 'age_ms') return (value / 1000).toFixed(1) + ' s';
    if (typeof value === 'boolean') return value ? 'yes' : 'no';
    return String(value);
  }
  function rate(name, value) {
    if (bad.has(value)) return 'bad';
    if (value === 'alive' || value === 'open') return 'good';
    if (goodWhenTrue.has(name)) return value ? 'good' : 'bad';
    return name === 'is_draining' && value ? 'bad' : '';
  }
  function create(tag, text, className) {
    const element = document.createElement(tag);
    if (text !== undefined) element.textContent = text;
    if (className) element.className = className;
    return element;
  }
  function renderTable(section, rows) {
    const holder = byId(section);
    const names = columns[section];
    byId(section + '-count').textContent = String(rows.length);
    const table = create('table');
    const head = create('tr');
    for (const name of names) {
      head.append(create('th', name.replace(/_ms$/, '').replaceAll('_', ' ')));
    }
    table.append(head);
    for (const row of rows) {
      const line = create('tr');
      for (const name of names) {
        line.append(create('td', show(name, row[name]), rate(name, row[name])));
      }
      table.append(line);
    }
    holder.replaceChildren(table);
  }
  function renderFacts(status) {
    const platform = status.platform.is_reachable ? 'reachable' : 'away';
    const facts = [
      ['Daemon', status.daemon], ['Data centre', status.data_centre],
      ['Ready', show('', status.is_ready), status.is_ready ? 'good' : 'bad'],
      ['Configuration', 'version ' + status.config_version],
      ['Platform', platform, status.platform.is_reachable ? 'good' : 'bad'],
      ['Not yet durable', status.platform.uncommitted_bytes + ' bytes'],
      ['As of', new Date(status.at_ms).toLocaleTimeString()],
    ];
    byId('facts').replaceChildren(...facts.map(([name, value, className]) => {
      const fact = create('div', undefined, 'fact');
      fact.append(create('span', name), create('b', value, className));
      return fact;
    }));
  }
  async function refresh() {
    const key = sessionStorage.getItem('operator-key');
    if (!key) return;
    try {
      const response = await fetch('/ops/v1/status', {
        headers: {Authorization: 'Bearer ' + key},
      });
      const body = await response.json();
      if (!response.ok) throw new Error(body.error.message);
      renderFacts(body);
      for (const section of Object.keys(columns)) renderTable(section, body[section]);
      byId('content').hidden = false;
      byId('message').textContent = '';
    } catch (error) {
      byId('message').textContent = error.message;
    }
  }
  byId('key-form').addEventListener('submit', (event) => {
    event.preventDefault();
    sessionStorage.setItem('operator-key', byId('key').value);
    byId('key').value = '';
    refresh();
  });
  setInterval(refresh, refreshMs);
  refresh();
`;

function renderSection(id: string, title: string): string {
  return `<h2>${title} (<span id="${id}-count">0</span>)</h2>
<div class="table" id="${id}"></div>`;
}

/** HTML of the page, which polls `/ops/v1/status` with the operator's key. */
export const statusPage = `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>marigoldpost status</title>
<style>${style}</style>
</head>
<body>
<header>
<h1>marigoldpost</h1>
<form id="key-form">
<input id="key" type="password" placeholder="operator key" autocomplete="off"
  aria-label="operator key">
<button>Show</button>
</form>
</header>
<p id="message" role="status"></p>
<main id="content" hidden>
<div class="facts" id="facts"></div>
${renderSection('services', 'Services')}
${renderSection('targets', 'Targets')}
${renderSection('members', 'Daemons')}
${renderSection('teams', 'Calling teams')}
${renderSection('quarantined', 'Quarantined requests')}
${renderSection('partitions', 'Partitions')}
</main>
<script>${script}</script>
</body>
</html>
`;
