import type { SeriesGroup } from './report';

/** Script and style of the chart library, embedded in the page. */
export interface PageAssets {
  readonly script: string;
  readonly style: string;
}

/** Content of the HTML report. */
export interface ReportPage {
  readonly title: string;
  /** The table as printed on the terminal. */
  readonly table: string;
  readonly groups: readonly SeriesGroup[];
}

const PAGE_STYLE = `
body { font-family: sans-serif; margin: 2rem; color: #222; }
pre { background: #f4f4f4; padding: 1rem; overflow-x: auto; }
.charts { display: grid; grid-template-columns: repeat(auto-fit, minmax(640px, 1fr)); gap: 2rem; }
`;

const PAGE_SCRIPT = `
const palette = ['#1f77b4', '#d62728', '#2ca02c', '#ff7f0e', '#9467bd', '#8c564b', '#17becf',
  '#7f7f7f', '#bcbd22', '#e377c2'];
const groups = JSON.parse(document.getElementById('series').textContent);
for (const group of groups) {
  const holder = document.createElement('div');
  document.querySelector('.charts').append(holder);
  const lines = group.series.map((line, index) => ({
    label: line.label,
    stroke: palette[index % palette.length],
    width: 1.5,
  }));
  const options = {
    title: group.title,
    width: 640,
    height: 300,
    scales: { x: { time: false } },
    axes: [{ label: 'time, s' }, { label: group.unit, size: 70 }],
    series: [{ label: 's' }, ...lines],
  };
  const data = [group.timesSeconds, ...group.series.map((line) => line.values)];
  new uPlot(options, data, holder);
}
`;

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}

/** JSON with `<` escaped, so that it cannot close the script element that contains it. */
function embeddedJson(value: unknown): string {
  return JSON.stringify(value).replaceAll('<', '\\u003c');
}

/** Renders a self-contained HTML page. */
export function reportHtml(page: ReportPage, assets: PageAssets): string {
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>${escapeHtml(page.title)}</title>
<style>${assets.style}${PAGE_STYLE}</style>
</head>
<body>
<h1>${escapeHtml(page.title)}</h1>
<pre>${escapeHtml(page.table)}</pre>
<div class="charts"></div>
<script type="application/json" id="series">${embeddedJson(page.groups)}</script>
<script>${assets.script}</script>
<script>${PAGE_SCRIPT}</script>
</body>
</html>
`;
}
