import { describe, expect, it } from 'vitest';
import { sumByService } from '../src/metric-text';
import { reportHtml } from '../src/report-html';
import { tableText } from '../src/table';

describe('tableText', () => {
  it('aligns the first column left and the others right', () => {
    const text = tableText([
      ['what', 'system'],
      ['requests', '10'],
      ['x', '1,000,000'],
    ]);
    expect(text.split('\n')).toEqual([
      'what         system',
      '--------  ---------',
      'requests         10',
      'x         1,000,000',
    ]);
  });
});

describe('reportHtml', () => {
  it('escapes its content and embeds the chart library', () => {
    const page = reportHtml(
      {
        title: 'a < b',
        table: '<none>',
        groups: [
          {
            title: '</script>',
            unit: '1/s',
            timesSeconds: [0],
            series: [{ label: 'l', values: [null] }],
          },
        ],
      },
      { script: 'const uPlot = 1;', style: '.u-hz {}' },
    );
    expect(page).toContain('a &lt; b');
    expect(page).toContain('&lt;none&gt;');
    expect(page).toContain('const uPlot = 1;');
    expect(page.match(/<\/script>/g)).toHaveLength(3);
  });
});

describe('sumByService', () => {
  it('sums samples over daemons and labels', () => {
    const texts = [
      { service: 'a', text: '# HELP x\nx{class="money"} 1\nx{class="background"} 2.5\n' },
      { service: 'a', text: 'x 4\nbroken line\n' },
      { service: 'b', text: 'x 1e3' },
    ];
    expect(sumByService(texts)).toEqual([
      { name: 'x', service: 'a', value: 7.5 },
      { name: 'x', service: 'b', value: 1000 },
    ]);
  });
});
