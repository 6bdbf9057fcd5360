"""Fills in the settings template of a deployment, as DEPLOY.md describes it.

Only what `deploy/settings.json` uses is supported: values (`{{a.b}}`,
`{{a.0}}`, `{{a|json}}`) and sections that are shown or hidden.
"""

import json
import re

_SECTION = re.compile(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', re.S)
_VALUE = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')


def _look_up(fields, path):
    value = fields
    for name in path.split('.'):
        if isinstance(value, dict):
            value = value.get(name)
        elif isinstance(value, list) and name.isdigit():
            value = value[int(name)] if int(name) < len(value) else None
        else:
            return None
    return value


def _text(value, as_json):
    if as_json:
        return json.dumps(value)
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, list):
        return ','.join(str(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def fill_in(template, fields):
    """Return the template with the fields of one machine."""

    def section(match):
        value = _look_up(fields, match[2])
        present = value is not None and value is not False
        return match[3] if present == (match[1] == '#') else ''

    text = _SECTION.sub(section, template)
    return _VALUE.sub(
        lambda match: _text(_look_up(fields, match[1]), bool(match[2])), text
    )
