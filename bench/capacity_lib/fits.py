"""Fits lines by least squares, formats numbers and draws SVG plots."""

import math

WIDTH, HEIGHT = 420, 280
LEFT, BOTTOM, TOP, RIGHT = 70, 45, 30, 15


def fit(points):
    """Fits a line through (x, y) points by least squares.

    Needs at least three points with two different x. Returns a dictionary with the slope and its
    standard error, the intercept, R2 and the points.
    """
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual_squares = sum((y - intercept - slope * x) ** 2 for x, y in points)
    total_squares = sum((y - mean_y) ** 2 for _, y in points)
    return {"slope": slope, "intercept": intercept,
            "slope_error": math.sqrt(residual_squares / (n - 2) / spread),
            "r2": 1 - residual_squares / total_squares if total_squares else 1.0,
            "points": [[x, y] for x, y in points]}


def evaluate(line, x):
    return line["intercept"] + line["slope"] * x


def format_number(value):
    """Formats a number with three significant digits below 100, else as a whole number.

    Whole numbers have thousands separators; there are at most six decimal places. None, infinity
    and NaN give "-".
    """
    if value is None or not math.isfinite(value):
        return "-"
    if value == 0:
        return "0"
    digits = min(6, max(0, 2 - math.floor(math.log10(abs(value)))))
    return f"{round(value, digits):,.{digits}f}" if abs(value) < 100 else f"{round(value):,}"


def plot(path, title, x_label, y_label, line):
    """Writes an SVG file with the points and the fitted line."""
    points = line["points"]
    max_x = max(x for x, _ in points) * 1.05
    max_y = max(max(y for _, y in points), evaluate(line, max_x)) * 1.1 or 1

    def to_pixels(x, y):
        return (LEFT + x / max_x * (WIDTH - LEFT - RIGHT),
                HEIGHT - BOTTOM - y / max_y * (HEIGHT - BOTTOM - TOP))

    def text(x, y, content, anchor="middle", attributes=""):
        return (f'<text x="{x:.0f}" y="{y:.0f}" text-anchor="{anchor}" font-size="11" '
                f'font-family="sans-serif"{attributes}>{content}</text>')

    x0, y0 = to_pixels(0, 0)
    x1, y1 = to_pixels(max_x, max_y)
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {HEIGHT}">',
             f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
             f'<path d="M{x0:.0f} {y1:.0f}V{y0:.0f}H{x1:.0f}" fill="none" stroke="black"/>',
             text(WIDTH / 2, 16, title), text(WIDTH / 2, HEIGHT - 8, x_label),
             text(14, HEIGHT / 2, y_label, attributes=f' transform="rotate(-90 14 {HEIGHT // 2})"')]
    for i in range(1, 5):
        x, _ = to_pixels(max_x * i / 4, 0)
        _, y = to_pixels(0, max_y * i / 4)
        parts.append(text(x, y0 + 15, format_number(max_x * i / 4)))
        parts.append(text(x0 - 5, y + 4, format_number(max_y * i / 4), "end"))
    (ax, ay), (bx, by) = to_pixels(0, max(0, line["intercept"])), to_pixels(
        max_x, evaluate(line, max_x))
    parts.append(f'<line x1="{ax:.0f}" y1="{ay:.0f}" x2="{bx:.0f}" y2="{by:.0f}" stroke="gray"/>')
    for x, y in points:
        cx, cy = to_pixels(x, y)
        parts.append(f'<circle cx="{cx:.0f}" cy="{cy:.0f}" r="3.5"/>')
    parts.append("</svg>")
    with open(path, "w") as out:
        out.write("\n".join(parts) + "\n")
